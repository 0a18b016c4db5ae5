/** Small HTTP helpers of the second review's stand-ins. */
import http from 'node:http';
import { Buffer } from 'node:buffer';

/** Reads a whole request or response body as text. */
export async function readText(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

/** Sends a JSON body. */
export function sendJson(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Calls a JSON interface; resolves with the status and the parsed body. */
export async function callJson({ host, port, method, path, body, timeoutMs = 2_000 }) {
  const text = body === undefined ? undefined : JSON.stringify(body);
  const headers =
    text === undefined
      ? {}
      : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) };
  const response = await new Promise((resolve, reject) => {
    const request = http.request({ host, port, method, path, headers, agent: false }, resolve);
    request.setTimeout(timeoutMs, () => request.destroy(new Error('timeout')));
    request.on('error', reject);
    request.end(text);
  });
  const answer = await readText(response);
  return { status: response.statusCode, body: answer ? JSON.parse(answer) : undefined };
}

/**
 * Sends one client attempt. Resolves with its outcome, whatever it is: the status, headers, body and
 * whether the body is whole, or the error of the connection.
 */
export function attempt({ address, method, path, headers, body, agent, timeoutMs = 8_000 }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const sentMs = Date.now();
    const finish = (outcome) => resolve({ sentMs, endMs: Date.now(), ...outcome });
    const length = body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) };
    const options = { host, port, method, path, headers: { ...headers, ...length } };
    const request = http.request({ ...options, agent: agent ?? false }, async (response) => {
      const head = { status: response.statusCode, headers: response.headers };
      try {
        const text = await readText(response);
        finish({ ...head, body: text, isWhole: response.complete });
      } catch (error) {
        finish({ ...head, body: '', isWhole: false, error: error.message });
      }
    });
    request.setTimeout(timeoutMs, () => request.destroy(new Error('client timeout')));
    request.on('error', (error) => finish({ error: error.message }));
    request.end(body);
  });
}
