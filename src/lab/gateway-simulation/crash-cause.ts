/** Tells which simulated requests crash the engines that run them, and why. */
import type { ForwardedRequest } from '../../protocol/inference/port.js';
import { CrashCause, type ObservedCrash } from './simulated-engine.js';
import {
  CRASHING_BODY,
  CRASHING_PART,
  HARMLESS_TEXT,
  sharedPartIdsOf,
} from './simulation-fixtures.js';

/** Why a request crashes the engine that runs it; undefined if it does not. */
export function crashCauseOf(
  { body, target }: ForwardedRequest,
  tenant: string | undefined,
): Pick<ObservedCrash, 'cause' | 'subject'> | undefined {
  const text = Buffer.concat(body.pieces).toString();
  if (text.startsWith(CRASHING_BODY)) {
    return { cause: CrashCause.Request, subject: [tenant, target, text].join(' ') };
  }
  if (text.includes(HARMLESS_TEXT)) return undefined;
  const part = sharedPartIdsOf(text).find((id) => id.startsWith(CRASHING_PART));
  return part === undefined ? undefined : { cause: CrashCause.PromptPart, subject: part };
}
