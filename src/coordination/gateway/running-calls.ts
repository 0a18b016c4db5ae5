/** The requests that one router is serving. */
import { CrashSubject } from './crash-guard.js';
import type { EnginePathState } from '../../state/routing/engine-path.js';
import type { EngineRestart } from './engine-incarnation-tracker.js';
import type { GatewayContext } from './gateway-context.js';
import type { InboundRequest, Reply } from './reply.js';
import { RequestCall } from './request-call.js';

/** All running requests of a router; each is removed when it ends. */
export class RunningCalls {
  private readonly calls = new Set<RequestCall>();

  get size(): number {
    return this.calls.size;
  }

  /** Serves one request. */
  start(request: InboundRequest, reply: Reply, context: GatewayContext): void {
    const call = new RequestCall(request, reply, context, () => this.calls.delete(call));
    this.calls.add(call);
    call.start();
  }

  /** Fails the sends that only the previous incarnation of a restarted engine can have received. */
  failSendsToPreviousIncarnation(restart: EngineRestart): void {
    this.forEach((call) => call.failSendToPreviousIncarnation(restart));
  }

  /** Fails direct sends that can't be expected to succeed, because engines can't be reached. */
  failSendsWithoutPath(path: EnginePathState): void {
    this.forEach((call) => call.failSendWithoutPath(path));
  }

  /** Ends calls of a quarantined request or prompt part, so that they reach no further engine. */
  endQuarantined(subject: CrashSubject, fingerprint: string): void {
    this.forEach((call) => {
      if (subject === CrashSubject.Request) call.endIfQuarantined(fingerprint);
      else call.endIfPartQuarantined(fingerprint);
    });
  }

  /** Ends all requests because the router shuts down. */
  endForShutdown(): void {
    this.forEach((call) => call.endForShutdown());
  }

  private forEach(action: (call: RequestCall) => void): void {
    for (const call of this.calls) call.runStep(() => action(call));
  }
}
