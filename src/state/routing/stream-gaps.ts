/**
 * Cost of the gaps that prefill causes in streams. An engine prefills one chunk of a queued prompt
 * in each step and makes one token for each running stream in the same step. An event carries
 * several tokens, so while prompt tokens are queued, the streams get each event only after several
 * chunks. A stream with a gap above its objective is late as a whole. Pure.
 */
import type { EngineSpeed } from './engine-speeds.js';

/** Tokens that an engine prefills at most in one step, between two tokens of a stream. */
const CHUNK_TOKENS = 2_048;
/** Tokens in one event of a stream; engines were observed to send 5 to 8. */
const EVENT_TOKENS = 8;
/** Slowdown by noise that must be tolerated; engines were observed to have it a seventh of the time. */
const NOISE_FACTOR = 2.5;

/** Prompt tokens that an engine prefills at most between two events of a stream. */
export function prefillTokensPerEvent(unreadTokens: number): number {
  return Math.min(unreadTokens, EVENT_TOKENS * CHUNK_TOKENS);
}

/** Expected gap in a running stream while `unreadTokens` are queued at its engine. */
export function expectedGapMs(unreadTokens: number, speed: EngineSpeed): number {
  return (
    prefillTokensPerEvent(unreadTokens) / speed.prefillTokensPerMs + EVENT_TOKENS * speed.tokenMs
  );
}

/**
 * Expected share of responses that are late: 0 if the expected time is within the objective even
 * under noise, 1 if it reaches the objective without noise.
 */
export function lateShare(expectedMs: number, objectiveMs: number): number {
  const tolerableMs = objectiveMs / NOISE_FACTOR;
  if (expectedMs <= tolerableMs) return 0;
  return Math.min(1, (expectedMs - tolerableMs) / (objectiveMs - tolerableMs));
}

/** Queued prompt tokens that make all streams of an engine late, without noise. */
function lateTokens(objectiveMs: number, speed: EngineSpeed): number {
  const prefillMs = Math.max(1, objectiveMs - EVENT_TOKENS * speed.tokenMs);
  return prefillMs * speed.prefillTokensPerMs;
}

/**
 * Cost of the streams that become late if `unreadTokens` are queued at their engine besides those
 * that already are. A late stream costs as much as the delay that makes it late.
 */
export function harmToStreamsMs(
  unreadTokens: number,
  queuedTokens: number,
  streams: number,
  objectiveMs: number,
  speed: EngineSpeed,
): number {
  if (streams === 0) return 0;
  const shareBefore = lateShare(expectedGapMs(queuedTokens, speed), objectiveMs);
  const shareAfter = lateShare(expectedGapMs(queuedTokens + unreadTokens, speed), objectiveMs);
  return streams * objectiveMs * (shareAfter - shareBefore);
}

/**
 * Cost of the gaps that a stream will meet at an engine, from the prompt tokens that were queued
 * there recently. Prompts that are queued when it arrives are prefilled before its own, so only
 * those that arrive while it runs cause gaps in it. Prefill that makes streams late lasts about as
 * long as the objective, so a stream meets as many of them as it lasts objectives.
 */
export function harmFromPrefillMs(
  recentUnreadTokens: number,
  outputTokens: number,
  objectiveMs: number,
  speed: EngineSpeed,
): number {
  const lateTimeShare = recentUnreadTokens / lateTokens(objectiveMs, speed);
  const streamMs = outputTokens * speed.tokenMs;
  return objectiveMs * Math.min(1, lateTimeShare * (streamMs / objectiveMs));
}

/** Cost of a first token that may be later than the objective. */
export function lateFirstTokenMs(expectedMs: number, objectiveMs: number): number {
  return objectiveMs * lateShare(expectedMs, objectiveMs);
}
