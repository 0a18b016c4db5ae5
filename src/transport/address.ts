/** Addresses in the form `HOST:PORT`. */
import { TransportFailure } from './errors.js';

/** A host (IP address) and a port. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

const ADDRESS_PATTERN = /^(.+):(\d{1,5})$/;

/** Whether a text has the form `HOST:PORT`. */
export function isAddress(text: string): boolean {
  return ADDRESS_PATTERN.test(text);
}

/** Splits `HOST:PORT`; throws a `bad-address` failure if the address is invalid. */
export function parseAddress(address: string): HostPort {
  const match = ADDRESS_PATTERN.exec(address);
  if (!match?.[1] || !match[2]) throw new TransportFailure({ kind: 'bad-address', address });
  return { host: match[1], port: Number(match[2]) };
}

/** Joins host and port. */
export function formatAddress(host: string, port: number): string {
  return `${host}:${port}`;
}
