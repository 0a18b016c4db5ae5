/** Answers of a router that hold for good: the caller is not asked back. */
import type { OwnAnswer } from './reply.js';

/** The request itself can't be processed, so the caller's library must not send it again. */
export const CRASHES_ENGINES: OwnAnswer = { status: 422, reason: 'request-crashes-engines' };
/** Its tenant's limit will never bear the request. */
export const LARGER_THAN_LIMIT: OwnAnswer = { status: 429, reason: 'larger-than-quota' };
