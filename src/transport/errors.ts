/** Errors of the transport layer. */

/** The errors of connections, listeners and frames. */
export type TransportError =
  | { readonly kind: 'connect-failed'; readonly address: string; readonly reason: string }
  | { readonly kind: 'listen-failed'; readonly address: string; readonly reason: string }
  | { readonly kind: 'frame-too-large'; readonly bytes: number; readonly limit: number }
  | { readonly kind: 'bad-address'; readonly address: string };

/** Carries a transport error through promise rejections. */
export class TransportFailure extends Error {
  constructor(readonly error: TransportError) {
    super(describeTransportError(error));
    this.name = 'TransportFailure';
  }
}

/** Describes the error in one line. */
export function describeTransportError(error: TransportError): string {
  switch (error.kind) {
    case 'connect-failed':
      return `cannot connect to ${error.address}: ${error.reason}`;
    case 'listen-failed':
      return `cannot listen on ${error.address}: ${error.reason}`;
    case 'frame-too-large':
      return `frame of ${error.bytes} bytes exceeds the limit of ${error.limit}`;
    case 'bad-address':
      return `"${error.address}" is not HOST:PORT`;
  }
}
