/** Validates and admits calls from agents, and dispatches messages to the running calls. */
import type { StartCall } from '../../protocol/peer/generated/peer_pb.js';
import { CallKind } from '../../protocol/peer/generated/peer_pb.js';
import type { PeerBody, PeerChannel } from '../../protocol/peer/peer-channel.js';
import type { TenantParameters } from '../../state/template-set.js';
import type { CallFailure } from '../errors.js';
import type { RouterCall } from './call.js';
import { CallOutput } from './call-output.js';
import { GenerationCall } from './generation-call.js';
import { OperationCall } from './operation-call.js';
import type { RouterContext } from './router-context.js';

const OVERLOADED_RETRY_MS = 1_000;

type Calls = Map<number, RouterCall>;

/** The running calls of one router. */
export class CallServer {
  private readonly calls = new Map<PeerChannel, Calls>();
  private draining = false;
  private running = 0;
  private onIdle: (() => void) | undefined;

  constructor(private readonly context: RouterContext) {}

  get runningCalls(): number {
    return this.running;
  }

  /** Handles an agent's call messages; returns false for any other message. */
  handle(channel: PeerChannel, body: PeerBody): boolean {
    switch (body.case) {
      case 'startCall':
        this.startCall(channel, body.value);
        return true;
      case 'cancelCall':
        this.find(channel, body.value.callNumber)?.cancel();
        return true;
      case 'grantCredit':
        this.find(channel, body.value.callNumber)?.grantCredit(body.value.chunks);
        return true;
      default:
        return false;
    }
  }

  /** Abandons the calls of a closed channel. */
  onClose(channel: PeerChannel): void {
    const calls = this.calls.get(channel);
    this.calls.delete(channel);
    for (const call of calls?.values() ?? []) call.abandon();
  }

  /** Rejects new calls; resolves when the running ones have ended. */
  drain(): Promise<void> {
    this.draining = true;
    if (this.running === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.onIdle = resolve;
    });
  }

  private find(channel: PeerChannel, callNumber: number): RouterCall | undefined {
    return this.calls.get(channel)?.get(callNumber);
  }

  private startCall(channel: PeerChannel, start: StartCall): void {
    const output = new CallOutput(channel, start.callNumber, start.requestId);
    const parameters = this.context.configuration.parametersOf(start.tenant);
    const rejection = this.findRejection(start, parameters);
    if (rejection) {
      output.failed({ failure: rejection, notRun: !start.earlierUnproven });
    } else if (parameters) {
      this.admit(channel, start, parameters, output);
    }
  }

  private findRejection(
    start: StartCall,
    parameters: TenantParameters | undefined,
  ): CallFailure | undefined {
    if (this.draining) return { kind: 'try-another-router', message: 'this router leaves' };
    const { configuration } = this.context;
    if (!configuration.isReady || !configuration.hasMachineList) {
      return { kind: 'try-another-router', message: 'this router has no configuration yet' };
    }
    if (!parameters) return { kind: 'forbidden', message: 'unknown tenant' };
    return start.kind === CallKind.GENERATION
      ? this.findGenerationRejection(start)
      : this.findOperationRejection(start);
  }

  private findGenerationRejection(start: StartCall): CallFailure | undefined {
    const model = start.generation?.model ?? '';
    if (this.context.configuration.allowedModel(start.tenant, model)) return undefined;
    if (this.context.configuration.hasModel(model)) {
      return { kind: 'forbidden', message: `the tenant may not use model "${model}"` };
    }
    return { kind: 'invalid', message: `no model named "${model}"` };
  }

  private findOperationRejection(start: StartCall): CallFailure | undefined {
    const { service = '', operation = '' } = start.operation ?? {};
    if (this.context.configuration.operation(start.tenant, service, operation)) return undefined;
    return { kind: 'invalid', message: `no operation "${service}/${operation}" for the tenant` };
  }

  private admit(
    channel: PeerChannel,
    start: StartCall,
    parameters: TenantParameters,
    output: CallOutput,
  ): void {
    if (!this.context.admission.tryEnter(start.tenant, parameters.maximum_concurrent)) {
      const message = 'the tenant has its most requests running';
      output.failed({
        failure: { kind: 'overloaded', message, retryAfterMs: OVERLOADED_RETRY_MS },
        notRun: !start.earlierUnproven,
      });
      return;
    }
    const calls: Calls = this.calls.get(channel) ?? new Map<number, RouterCall>();
    this.calls.set(channel, calls);
    this.running += 1;
    const call = this.create(start, parameters, output, () => {
      calls.delete(start.callNumber);
      this.onCallEnded(start.tenant);
    });
    calls.set(start.callNumber, call);
    call.run();
  }

  private create(
    start: StartCall,
    parameters: TenantParameters,
    output: CallOutput,
    onEnded: () => void,
  ): GenerationCall | OperationCall {
    const { configuration } = this.context;
    const { service = '', operation = '' } = start.operation ?? {};
    const policy = configuration.operation(start.tenant, service, operation);
    if (start.kind === CallKind.OPERATION && policy) {
      return new OperationCall(start, policy, parameters, this.context, output, onEnded);
    }
    const allowed = configuration.allowedModel(start.tenant, start.generation?.model ?? '');
    if (!allowed) throw new Error('admitted a generation call without an allowed model');
    return new GenerationCall(start, allowed, parameters, this.context, output, onEnded);
  }

  private onCallEnded(tenant: string): void {
    this.context.admission.leave(tenant);
    this.running -= 1;
    if (this.running === 0) this.onIdle?.();
  }
}
