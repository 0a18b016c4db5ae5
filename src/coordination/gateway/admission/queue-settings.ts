/** Bounds of the request queues of one router. */

/** Bounds of all queues of a router together. */
export interface RequestQueueSettings {
  readonly maximumRequests: number;
  /** Bytes of the bodies that wait. */
  readonly maximumBytes: number;
  /** Longest time in a queue, in milliseconds, whatever the objective and the deadline. */
  readonly maximumWaitMs: number;
}

const BYTES_PER_MEGABYTE = 1_048_576;
/** Share of the router's memory for bodies that wait; the rest serves running requests. */
const MEMORY_SHARE = 0.125;
/** Memory that a router is assumed to have if the platform does not state it. */
const DEFAULT_MEMORY_MB = 512;
/** Memory beside the body that a waiting request occupies: call, connection, timers and headers. */
const BYTES_PER_REQUEST = 16_384;
const MAXIMUM_REQUESTS = 10_000;
/** Longer than the objectives of interactive requests; a batch caller waits outside the router. */
const MAXIMUM_WAIT_MS = 10_000;

/**
 * Derives the bounds from the router's memory.
 *
 * @throws RangeError if the memory is not a positive number
 */
export function queueSettingsFor(memoryMb: number = DEFAULT_MEMORY_MB): RequestQueueSettings {
  const memoryBytes = checkPositive('memory', memoryMb) * BYTES_PER_MEGABYTE;
  const queueBytes = Math.floor(memoryBytes * MEMORY_SHARE);
  return {
    maximumRequests: Math.max(
      1,
      Math.min(MAXIMUM_REQUESTS, Math.floor(queueBytes / BYTES_PER_REQUEST)),
    ),
    maximumBytes: queueBytes,
    maximumWaitMs: MAXIMUM_WAIT_MS,
  };
}

/** Returns the settings if each is a positive number; throws a `RangeError` that names the other. */
export function checkQueueSettings(settings: RequestQueueSettings): RequestQueueSettings {
  for (const [name, value] of Object.entries(settings)) checkPositive(name, value as number);
  return settings;
}

function checkPositive(name: string, value: number): number {
  if (value > 0 && !Number.isNaN(value)) return value;
  throw new RangeError(`request queue: ${name} is ${value}, expected a positive number`);
}
