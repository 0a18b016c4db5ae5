/** Dependency injection tokens for the external services of a node. */
export const HASHER = Symbol('Hasher');
export const CLOCK = Symbol('Clock');
export const RANDOM = Symbol('RandomSource');
export const LOGGER = Symbol('Logger');
export const FRAME_TRANSPORT = Symbol('FrameTransport');
export const DATAGRAM_TRANSPORT = Symbol('DatagramTransport');
