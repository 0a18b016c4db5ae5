/** The limit of one tenant in a soak, and the tolerance of limits. */
import { STREAM_EVENTS } from './stream-events.js';

/** The tenant that is limited. */
export const LIMITED_TENANT = 'tenant-1';

/** The limit, in the fields of the configuration. Above what the soak's usual callers use. */
export const TENANT_LIMIT = {
  unit: 'tokens',
  rate_per_s: 30_000,
  burst: 30_000,
  plain_tokens: 300,
} as const;

/** Prompt tokens that each stream declares. */
export const STREAM_PROMPT_TOKENS = 900;

/** Tolerance of limits, in the fields of the routers' settings. */
export const QUOTA_BOUNDS = {
  quota_window_s: 8,
  quota_overage: 0.1,
  quota_slack: 20 * (STREAM_PROMPT_TOKENS + STREAM_EVENTS),
} as const;
