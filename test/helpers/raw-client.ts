/** A client that writes bytes as they are. */
import { connect } from 'node:net';
import { drained } from '../../soak/client-crowds.js';

/** Sends the bytes on a new connection; resolves with the first line of what comes back. */
export async function sendBytes(address: string, pieces: Iterable<Buffer>): Promise<string> {
  const [host, port] = address.split(':');
  const socket = connect({ host, port: Number(port) });
  socket.setEncoding('latin1');
  const firstLine = new Promise<string>((resolve) => {
    let received = '';
    socket.on('data', (text: string) => {
      received += text;
      if (received.includes('\r\n')) resolve(received.split('\r\n')[0] as string);
    });
    socket.once('close', () => resolve('closed'));
    socket.once('error', ({ message }) => resolve(message));
  });
  for (const piece of pieces) {
    if (socket.destroyed) break;
    if (!socket.write(piece)) await Promise.race([drained(socket), firstLine]);
  }
  const line = await firstLine;
  socket.destroy();
  return line;
}
