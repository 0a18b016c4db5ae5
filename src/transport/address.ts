/** Addresses in the form `HOST:PORT`. */
import { TransportFailure } from './errors.js';

/** A host (IP address) and a port. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

const ADDRESS_PATTERN = /^(.+):(\d{1,5})$/;

/** Splits `HOST:PORT`; undefined if the text has another form. */
export function findAddress(text: string): HostPort | undefined {
  const match = ADDRESS_PATTERN.exec(text);
  return match?.[1] && match[2] ? { host: match[1], port: Number(match[2]) } : undefined;
}

/** Splits `HOST:PORT`; throws a `bad-address` failure if the address is invalid. */
export function parseAddress(address: string): HostPort {
  const found = findAddress(address);
  if (!found) throw new TransportFailure({ kind: 'bad-address', address });
  return found;
}

/** Joins host and port. */
export function formatAddress(host: string, port: number): string {
  return `${host}:${port}`;
}
