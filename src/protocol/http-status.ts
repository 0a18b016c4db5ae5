/** HTTP status codes (RFC 9110). */
export enum HttpStatus {
  Ok = 200,
  Accepted = 202,
  NoContent = 204,
  NotModified = 304,
  BadRequest = 400,
  Unauthorized = 401,
  Forbidden = 403,
  NotFound = 404,
  Conflict = 409,
  ContentTooLarge = 413,
  /** The request is for another engine or for other weights. */
  Misdirected = 421,
  TooManyRequests = 429,
  ServerError = 500,
  BadGateway = 502,
  Unavailable = 503,
  GatewayTimeout = 504,
}

/** Statuses whose responses have no body. */
export const BODILESS_STATUSES: ReadonlySet<number> = new Set([
  HttpStatus.NoContent,
  HttpStatus.NotModified,
]);

const LOWEST_SUCCESS_STATUS = 200;
const LOWEST_REDIRECTION_STATUS = 300;

/** Whether the status says that the request was served. */
export function isSuccess(status: number): boolean {
  return status >= LOWEST_SUCCESS_STATUS && status < LOWEST_REDIRECTION_STATUS;
}
