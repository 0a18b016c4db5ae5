/** Error responses to callers: `{error: {type, message, not_run, request_id}}`. */
import { HttpStatus } from '../../protocol/http-status.js';
import type Hapi from '@hapi/hapi';
import { type FailedCall, retryAfterOf } from '../../coordination/errors.js';

/** An error response. */
export interface ApiError {
  readonly status: number;
  readonly type: string;
  readonly message: string;
  readonly notRun: boolean;
  /** Value of `Retry-After` in seconds; 0 omits the header. */
  readonly retryAfterSeconds: number;
}

const MS_PER_SECOND = 1_000;

/** An error that was found before the request was sent to a router. */
function notRunError(status: number, type: string, message: string): ApiError {
  return { status, type, message, notRun: true, retryAfterSeconds: 0 };
}

export const invalidRequest = (message: string): ApiError =>
  notRunError(HttpStatus.BadRequest, 'invalid_request_error', message);
export const invalidKey = (): ApiError =>
  notRunError(
    HttpStatus.Unauthorized,
    'authentication_error',
    'the bearer key is missing or not known',
  );
export const notFound = (message: string): ApiError =>
  notRunError(HttpStatus.NotFound, 'not_found', message);
export const forbidden = (message: string): ApiError =>
  notRunError(HttpStatus.Forbidden, 'permission_error', message);
export const notReady = (): ApiError => ({
  ...notRunError(HttpStatus.Unavailable, 'unavailable', 'no configuration has been received yet'),
  retryAfterSeconds: 1,
});

/** Maps a failed call to the error response for the caller. */
export function apiErrorOf(failed: FailedCall): ApiError {
  const { failure, notRun } = failed;
  const retryAfterSeconds = Math.ceil(retryAfterOf(failure) / MS_PER_SECOND);
  const error = (status: number, type: string): ApiError => ({
    status,
    type,
    message: failure.message,
    notRun,
    retryAfterSeconds,
  });
  switch (failure.kind) {
    case 'overloaded':
      return error(HttpStatus.TooManyRequests, 'overloaded');
    case 'unavailable':
      return error(HttpStatus.Unavailable, 'unavailable');
    case 'try-another-router':
      return { ...error(HttpStatus.Unavailable, 'unavailable'), retryAfterSeconds: 1 };
    case 'deadline':
      return error(HttpStatus.GatewayTimeout, 'deadline_exceeded');
    case 'forbidden':
      return error(HttpStatus.Forbidden, 'permission_error');
    case 'invalid':
      return error(HttpStatus.NotFound, 'not_found');
    case 'outcome-unknown':
      return error(HttpStatus.Conflict, 'outcome_unknown');
  }
}

/** The JSON body of an error. */
export function errorBody(error: ApiError, requestId: string): object {
  return {
    error: {
      type: error.type,
      message: error.message,
      not_run: error.notRun,
      ...(error.type === 'outcome_unknown' ? { outcome_unknown: true } : {}),
      request_id: requestId,
    },
  };
}

/** Creates an error response. */
export function respondError(
  h: Hapi.ResponseToolkit,
  error: ApiError,
  requestId: string,
): Hapi.ResponseObject {
  const response = h.response(errorBody(error, requestId)).code(error.status);
  response.header('x-request-id', requestId);
  if (error.retryAfterSeconds > 0) response.header('retry-after', String(error.retryAfterSeconds));
  return response;
}
