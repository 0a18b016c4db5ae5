/** Finds ports that are free at several loopback addresses. */
import { type AddressInfo, type Server, createServer } from 'node:net';

const MAXIMUM_TRIES = 50;

/** First of `count` consecutive ports that are free at all addresses. Rejects if none are found. */
export async function findFreePorts(ips: readonly string[], count: number): Promise<number> {
  for (let tries = 0; tries < MAXIMUM_TRIES; tries += 1) {
    const probe = await listen(ips[0] ?? '127.0.0.1', 0);
    const first = (probe?.address() as AddressInfo).port;
    await close(probe);
    if (await areFree(ips, first, count)) return first;
  }
  throw new Error(`no ${count} consecutive free ports found`);
}

async function areFree(ips: readonly string[], first: number, count: number): Promise<boolean> {
  const servers: (Server | undefined)[] = [];
  for (const ip of ips) {
    for (let offset = 0; offset < count; offset += 1) {
      servers.push(await listen(ip, first + offset));
    }
  }
  await Promise.all(servers.map(close));
  return servers.every((server) => server !== undefined);
}

/** Resolves with undefined if the port is in use. */
function listen(ip: string, port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(undefined));
    server.listen(port, ip, () => resolve(server));
  });
}

function close(server: Server | undefined): Promise<void> {
  return new Promise((resolve) => {
    if (server) server.close(() => resolve());
    else resolve();
  });
}
