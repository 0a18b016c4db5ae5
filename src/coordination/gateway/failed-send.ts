/** Effects of a failed send: health of its engine, and whether the request may have run. */
import { HttpStatus } from '../../protocol/http-status.js';
import type { ExchangeFailure } from '../../protocol/inference/port.js';
import { RejectionReason } from '../../state/routing/rejection.js';
import type { GatewayContext } from './gateway-context.js';
import type { Send } from './send.js';

/** Records the failure for the engine; returns whether the request may have run there. */
export function recordFailedSend(
  { engineId, forwarder, placement }: Send,
  failure: ExchangeFailure,
  { health, forwarding, brittleness, statistics, clock }: GatewayContext,
): boolean {
  const now = clock.now();
  switch (failure.kind) {
    case 'not-sent':
      if (forwarder) forwarding.noteFailure(forwarder);
      if (isPathFailure(failure)) return false;
      statistics.enginesUnreachable += 1;
      health.noteUnreachable(engineId, now);
      return false;
    case 'refused':
      statistics.engineRefusals += 1;
      if (isMisdirected(failure)) health.noteMisdirected(engineId, now);
      else {
        health.noteBusy(engineId, now);
        brittleness.recordRejection(placement.engine.record);
      }
      return false;
    case 'withdrawn':
    case 'unconfirmed':
      return true;
    case 'unknown':
      statistics.unknownOutcomes += 1;
      health.noteFailure(engineId, now);
      return true;
    case 'cut':
      statistics.cutAnswers += 1;
      health.noteFailure(engineId, now);
      return true;
  }
}

/** Whether this router or a forwarder failed to connect, and nothing is known about the engine. */
export function isPathFailure(failure: ExchangeFailure): boolean {
  return failure.kind === 'not-sent' && failure.isPathFailure === true;
}

/** Rejection reason of a request whose last send failed and did not run. */
export function rejectionReasonOf(failure: ExchangeFailure): RejectionReason {
  if (failure.kind === 'not-sent') return RejectionReason.EnginesUnreachable;
  return isMisdirected(failure) ? RejectionReason.NoEngine : RejectionReason.EnginesFull;
}

/** Whether the engine may have begun a response that the failure ended. */
export function mayHaveBegun({ kind }: ExchangeFailure): boolean {
  return kind === 'unknown' || kind === 'cut' || kind === 'unconfirmed';
}

/** Whether the connection was dropped on the engine's side, as happens when the engine crashes. */
export function isDisconnect(failure: ExchangeFailure): boolean {
  return 'isDisconnect' in failure && failure.isDisconnect === true;
}

/** Whether the engine rejected the request because it had no capacity. */
export function isRefusedAsFull(failure: ExchangeFailure): boolean {
  return failure.kind === 'refused' && !isMisdirected(failure);
}

function isMisdirected(failure: ExchangeFailure): boolean {
  return failure.kind === 'refused' && failure.status === HttpStatus.Misdirected;
}
