/** Simulated callers that take up their broken streams again, each time at another router. */
import type { GatewaySimulation } from './gateway-simulation.js';
import { parseStream } from './simulated-exchange.js';
import { ROUTERS } from './simulation-fixtures.js';
import type { ObservedRequest } from './simulation-records.js';

/** How the streams that were taken up ended. */
export interface TakenUpStreams {
  readonly attempts: number;
  /** Attempts that an engine answered, also with the end of the stream alone. */
  readonly continued: number;
  /** Streams that were taken up, and those of them that went on at some attempt. */
  readonly streams: number;
  readonly continuedStreams: number;
}

/** Routers know where a stream began for this long; callers take up none that is older. */
const RETENTION_MS = 60_000;

/** Takes up each stream that was broken off after its first event. */
export class ReturningCallers {
  private readonly returned = new Set<ObservedRequest>();

  constructor(private readonly simulation: GatewaySimulation) {}

  /** Sends the next attempt of every stream that was broken off or rejected since the last call. */
  takeUpBroken(): void {
    for (const request of [...this.simulation.requests]) {
      if (this.returned.has(request) || !mayReturn(request) || this.isTooOld(request)) continue;
      const lastEvent = lastEventOf(request);
      if (lastEvent === 0) continue;
      this.returned.add(request);
      const firstAttempt = request.continued?.firstAttempt ?? request.id;
      const router = this.otherRouter(request.router);
      const { kind, tenant } = request;
      this.simulation.request(router, kind, tenant, 0, firstAttempt, { firstAttempt, lastEvent });
    }
  }

  /** Outcomes of the attempts that continue a stream, without those still in progress. */
  get outcomes(): TakenUpStreams {
    const attempts = this.simulation.requests.filter(
      ({ continued, reply }) => continued !== undefined && reply.ending !== undefined,
    );
    const continued = attempts.filter(({ reply }) => reply.status === 200);
    return {
      attempts: attempts.length,
      continued: continued.length,
      streams: streamsOf(attempts),
      continuedStreams: streamsOf(continued),
    };
  }

  private isTooOld({ continued, sentMs }: ObservedRequest): boolean {
    const first = this.simulation.requests.find(({ id }) => id === continued?.firstAttempt);
    return this.simulation.now - (first?.sentMs ?? sentMs) > RETENTION_MS;
  }

  private otherRouter(name: string): number {
    return (this.simulation.routerNames.indexOf(name) + 1) % ROUTERS;
  }
}

function streamsOf(attempts: readonly ObservedRequest[]): number {
  return new Set(attempts.map(({ continued }) => continued?.firstAttempt)).size;
}

function mayReturn({ kind, reply }: ObservedRequest): boolean {
  const isBroken =
    reply.ending === 'aborted' || (reply.ending === 'refused' && reply.status === 503);
  return kind === 'stream-resumable' && isBroken;
}

function lastEventOf({ continued, reply }: ObservedRequest): number {
  const events = reply.own ? 0 : parseStream(reply.body).builds.length;
  return (continued?.lastEvent ?? 0) + events;
}
