/** The agent: a process beside each caller that forwards its requests to the routers. */
import { inject, injectable } from 'tsyringe';
import type { Clock } from '../../runtime/clock.js';
import type { Hasher } from '../../runtime/hasher.js';
import type { Logger } from '../../runtime/logger.js';
import { type RandomSource, randomIdentifier } from '../../runtime/random.js';
import { CLOCK, FRAME_TRANSPORT, HASHER, LOGGER, RANDOM } from '../../runtime/injection-tokens.js';
import type { FrameTransport } from '../../transport/frame-transport.js';
import type { PeerBody } from '../../protocol/peer/peer-channel.js';
import { chainSeed, prefixRoot } from '../../state/prefix-chain.js';
import { Configuration, MACHINES_DOCUMENT, TEMPLATES_DOCUMENT } from '../shared/configuration.js';
import { DocumentReplicator } from '../shared/document-replicator.js';
import { AgentCall } from './agent-call.js';
import type { CallerHandle, CallerRequest, CallerSink } from './caller.js';
import type { RouterLink } from './router-link.js';
import { RouterLinks } from './router-links.js';
import type { AgentSettings } from './settings.js';

/** Injection token of an agent's settings. */
export const AGENT_SETTINGS = Symbol('AgentSettings');

/** Counters of an agent. */
export interface AgentStatistics {
  requests: number;
  finished: number;
  failed: number;
  texts: number;
}

/** Accepts callers' requests and forwards them to routers. */
@injectable()
export class AgentNode {
  readonly configuration: Configuration;
  readonly statistics: AgentStatistics = { requests: 0, finished: 0, failed: 0, texts: 0 };
  private readonly replicator = new DocumentReplicator([TEMPLATES_DOCUMENT, MACHINES_DOCUMENT]);
  private readonly links: RouterLinks;
  private readonly calls = new Set<AgentCall>();
  private stopping = false;
  private onIdle: (() => void) | undefined;

  constructor(
    @inject(AGENT_SETTINGS) readonly settings: AgentSettings,
    @inject(CLOCK) private readonly clock: Clock,
    @inject(RANDOM) private readonly random: RandomSource,
    @inject(HASHER) private readonly hasher: Hasher,
    @inject(LOGGER) private readonly logger: Logger,
    @inject(FRAME_TRANSPORT) frames: FrameTransport,
  ) {
    this.configuration = new Configuration(logger);
    this.links = new RouterLinks(settings, frames, clock, hasher, logger, {
      // The digest lets a restarted router fetch the configuration while the object API is down.
      onOpen: (link) => this.replicator.sendDigest(link.channel),
      onMessage: (link, body) => this.onMessage(link, body),
    });
    this.replicator.onChange((name, document) => {
      if (name === TEMPLATES_DOCUMENT) this.configuration.loadTemplates(document);
    });
  }

  /** True while the agent has a configuration and isn't stopping. */
  get isReady(): boolean {
    return !this.stopping && this.configuration.isReady;
  }

  get runningCalls(): number {
    return this.calls.size;
  }

  get openLinks(): number {
    return this.links.openLinks;
  }

  start(): void {
    this.links.start();
    this.logger.info('agent_started');
  }

  /** Graceful stop: waits for running requests. The edge accepts no new ones at this point. */
  async stop(): Promise<void> {
    this.stopping = true;
    if (this.calls.size > 0) {
      await new Promise<void>((resolve) => {
        this.onIdle = resolve;
      });
    }
    this.links.stop();
    this.logger.info('agent_stopped');
  }

  /** Creates a random request identifier. */
  createRequestId(): string {
    return randomIdentifier(this.random);
  }

  /** Starts a request; the sink receives its response. */
  submit(request: CallerRequest, sink: CallerSink): CallerHandle {
    this.statistics.requests += 1;
    const { clock, random, logger, links } = this;
    const countingSink = this.withStatistics(sink);
    const call = new AgentCall(request, countingSink, { clock, random, logger, links }, () =>
      this.onCallEnded(call),
    );
    this.calls.add(call);
    call.run();
    return call;
  }

  /** Key by which routers are ranked for a generation: the first mark of its prefix chain. */
  routeKeyOf(tenant: string, model: string, prompt: Uint8Array, requestId: string): bigint {
    const allowed = this.configuration.allowedModel(tenant, model);
    if (!allowed) return this.operationKeyOf(requestId);
    const seed = chainSeed(this.hasher, {
      tenant,
      model,
      weightsDigest: allowed.version.weights_digest,
      adapterDigest: allowed.version.adapter_digest,
    });
    // A prompt too short for a mark has no home router; it is spread by its identifier.
    return prefixRoot(this.hasher, seed, prompt) ?? this.operationKeyOf(requestId);
  }

  /** Key that distributes operations over all routers. */
  operationKeyOf(requestId: string): bigint {
    return this.hasher.hashText(requestId, 0n);
  }

  private withStatistics(sink: CallerSink): CallerSink {
    const { statistics } = this;
    return {
      onTexts: (sequence, texts) => {
        statistics.texts += texts.length;
        sink.onTexts(sequence, texts);
      },
      onFinished: (reason, usage) => {
        statistics.finished += 1;
        sink.onFinished(reason, usage);
      },
      onOutcome: (status, body) => {
        statistics.finished += 1;
        sink.onOutcome(status, body);
      },
      onFailed: (failed) => {
        statistics.failed += 1;
        sink.onFailed(failed);
      },
    };
  }

  private onCallEnded(call: AgentCall): void {
    this.calls.delete(call);
    if (this.calls.size === 0) this.onIdle?.();
  }

  private onMessage(link: RouterLink, body: PeerBody): void {
    if (this.replicator.handle(link.channel, body)) return;
    if (body.case === 'routerTable') this.links.applyTable(body.value);
  }
}
