/** Permanent rejections: responses without a retry delay. */
import type { RouterResponse } from './reply.js';

/** The request crashes engines; the status keeps client libraries from retrying it. */
export const REQUEST_CRASHES_ENGINES: RouterResponse = {
  status: 422,
  reason: 'request-crashes-engines',
};
/** A part of the prompt crashes engines, whatever else the request contains. */
export const PROMPT_PART_CRASHES_ENGINES: RouterResponse = {
  status: 422,
  reason: 'prompt-part-crashes-engines',
};
/** The request is larger than its tenant's limit can ever grant. */
export const REQUEST_EXCEEDS_LIMIT: RouterResponse = { status: 429, reason: 'larger-than-quota' };
