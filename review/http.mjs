/** HTTP helpers of the stand-ins. */
import { Buffer } from 'node:buffer';
import { createServer, request as httpRequest } from 'node:http';

/** Reads a whole body as text. */
export async function readBody(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

/** Answers with a JSON body. */
export function sendJson(response, status, body, headers = {}) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': String(Buffer.byteLength(text)),
    ...headers,
  });
  response.end(text);
}

/** Starts a server at a free port of a loopback address; resolves with its port. */
export function serve(ip, handler) {
  const server = createServer((request, response) => {
    Promise.resolve(handler(request, response)).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, ip, () => resolve({ server, port: server.address().port }));
  });
}

/**
 * Sends one request on a connection of its own and reads the whole answer. Resolves with the status,
 * the headers and the body, or with an error text if no whole answer came.
 */
export function call({ host, port, method = 'GET', path, headers = {}, body, timeoutMs = 5_000 }) {
  return new Promise((resolve) => {
    const options = { host, port, method, path, headers, agent: false };
    const request = httpRequest(options, (response) => {
      readBody(response).then(
        (body) =>
          resolve({
            status: response.statusCode,
            headers: response.headers,
            body,
            isComplete: response.complete,
          }),
        (error) => resolve({ status: response.statusCode, error: error.message }),
      );
    });
    request.setTimeout(timeoutMs, () => request.destroy(new Error('no answer in time')));
    request.on('error', (error) => resolve({ error: error.message }));
    request.end(body);
  });
}
