/** Derives how many connections one router accepts, and what they may hold, from its machine. */

/** Limits of all accepted connections together. */
export interface ConnectionLimits {
  /** Open at once. */
  readonly connections: number;
  /** Connections to engines that are kept idle. */
  readonly idleToEngines: number;
  /** Bytes that they make the router hold beside bodies and responses. */
  readonly bytes: number;
}

/** What the machine grants to the process; what it does not state is that of the smallest one. */
export interface MachineLimits {
  readonly memoryMb?: number | undefined;
  readonly descriptors?: number | undefined;
  /** Limit of the V8 heap, in bytes. */
  readonly heapBytes?: number | undefined;
}

const BYTES_PER_MEGABYTE = 1_048_576;
const DEFAULT_MEMORY_MB = 178;
const DEFAULT_DESCRIPTORS = 2_212;
/** Descriptors that the platform keeps for files. */
const FILE_DESCRIPTORS = 200;
/** Descriptors for the process itself, its listeners, the store and other routers. */
const OWN_DESCRIPTORS = 64;
/** Smallest limit on descriptors with which a router can serve. */
export const SMALLEST_DESCRIPTOR_LIMIT = FILE_DESCRIPTORS + 2 * OWN_DESCRIPTORS;
/** Of the rest; each request that an accepted connection brings may need one to an engine. */
const ACCEPTED_SHARE = 0.4;
/** Of the rest, for connections to engines that wait for their next request. */
const IDLE_SHARE = 0.1;
/** Share of the machine's memory, beside a quarter for bodies and responses. */
const MEMORY_SHARE = 0.125;
/** What is held here lies in the V8 heap for the greater part. */
const HEAP_SHARE = 0.25;

/** Connections of probes and directory calls that are accepted beyond the limit. */
export const RESERVED_CONNECTIONS = 16;
/** What an open connection holds by itself: socket, parser and its buffers, in bytes. */
export const CONNECTION_BYTES = 16_384;

/** Derives the limits; descriptors below {@link SMALLEST_DESCRIPTOR_LIMIT} must not be given. */
export function connectionLimitsOf({
  memoryMb = DEFAULT_MEMORY_MB,
  descriptors = DEFAULT_DESCRIPTORS,
  heapBytes = Infinity,
}: MachineLimits = {}): ConnectionLimits {
  const available = descriptors - FILE_DESCRIPTORS - OWN_DESCRIPTORS;
  const bytes = Math.floor(
    Math.min(memoryMb * BYTES_PER_MEGABYTE * MEMORY_SHARE, heapBytes * HEAP_SHARE),
  );
  const connections = Math.floor(Math.min(available * ACCEPTED_SHARE, bytes / CONNECTION_BYTES));
  const idleToEngines = Math.floor(available * IDLE_SHARE);
  return { connections: Math.max(1, connections), idleToEngines, bytes };
}
