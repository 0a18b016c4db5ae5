/** HTTP status codes used here (RFC 9110). */
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
  /** Another engine is meant, or other weights. */
  Misdirected = 421,
  TooManyRequests = 429,
  ServerError = 500,
  Unavailable = 503,
  GatewayTimeout = 504,
}
