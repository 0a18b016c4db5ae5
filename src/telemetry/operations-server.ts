/** The operations server of a daemon: `/metrics`, `/healthz`, `/readyz`. */
import { HttpStatus } from '../protocol/http-status.js';
import Hapi from '@hapi/hapi';
import { Gauge, Registry, collectDefaultMetrics } from 'prom-client';
import { formatAddress, parseAddress } from '../transport/address.js';

/** A metric on the metrics page. */
export interface Metric {
  readonly name: string;
  readonly help: string;
  /** Called whenever the page is requested. */
  readonly read: () => number;
}

/** A running operations server. */
export interface OperationsServer {
  /** The bound `HOST:PORT`. */
  readonly address: string;
  stop(): Promise<void>;
}

/** Starts an operations server. */
export async function startOperationsServer(
  address: string,
  metrics: readonly Metric[],
  isReady: () => boolean,
): Promise<OperationsServer> {
  const { host, port } = parseAddress(address);
  const registry = new Registry();
  collectDefaultMetrics({ register: registry });
  for (const metric of metrics) {
    new Gauge({
      name: metric.name,
      help: metric.help,
      registers: [registry],
      collect() {
        this.set(metric.read());
      },
    });
  }
  const server = Hapi.server({ host, port });
  server.route({
    method: 'GET',
    path: '/metrics',
    handler: async (_request, h) => h.response(await registry.metrics()).type(registry.contentType),
  });
  server.route({ method: 'GET', path: '/healthz', handler: () => 'ok\n' });
  server.route({
    method: 'GET',
    path: '/readyz',
    handler: (_request, h) =>
      isReady() ? 'ready\n' : h.response('not ready\n').code(HttpStatus.Unavailable),
  });
  await server.start();
  return {
    address: formatAddress(host, Number(server.info.port)),
    stop: () => server.stop({ timeout: 0 }),
  };
}

/** One metric for each counter of a statistics object, named `prefix_counter_name_total`. */
export function metricsOf(prefix: string, counters: object): Metric[] {
  const record = counters as Record<string, number>;
  return Object.keys(record).map((key) => ({
    name: `${prefix}_${key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`)}_total`,
    help: `Total of ${key} since the start`,
    read: () => record[key] ?? 0,
  }));
}
