/**
 * Which engines' feeds this router follows, what it tells the homes and what homes take in.
 * Ownership follows from the view of the group alone (rendezvous), since following twice is harmless.
 */
import { create } from '@bufbuild/protobuf';
import type { Clock } from '../../runtime/clock.js';
import type { Hasher } from '../../runtime/hasher.js';
import type { Logger } from '../../runtime/logger.js';
import type { EnginePort, EngineStatus } from '../../protocol/engine/port.js';
import type { Machine } from '../../protocol/machine-list/port.js';
import {
  type DirectoryUpdate,
  type EngineReport as WireReport,
  EngineReportSchema,
} from '../../protocol/peer/generated/peer_pb.js';
import type { PeerBody } from '../../protocol/peer/peer-channel.js';
import type { EngineMachine, EngineReport, EngineTable } from '../../state/engine-table.js';
import type { PrefixDirectory } from '../../state/prefix-directory.js';
import { pickByRendezvous } from '../../state/rendezvous.js';
import { EngineFeeds } from './engine-feeds.js';

/** An engine's identity is told to all routers again after this, in case a message was lost. */
const IDENTITY_PERIOD_MS = 15_000;
/** Waiting tokens are told in steps of this, so that small changes stay untold. */
const LOAD_STEP_TOKENS = 512;

/** What ownership needs to know of the group. */
export interface OwnershipGroup {
  working(): string[];
  viewVersion(): number;
  send(nodeId: string, body: PeerBody): void;
}

interface Told {
  identity: string;
  load: string;
  identityAtMs: number;
  viewVersion: number;
}

/** Engine knowledge of one router. */
export class EngineOwnership {
  private readonly feeds: EngineFeeds;
  private readonly told = new Map<string, Told>();
  private owned = new Set<string>();
  private homesVersion = -1;
  private homes: string[] = [];
  private machines: readonly Machine[] = [];

  constructor(
    private readonly nodeId: string,
    port: EnginePort,
    private readonly engines: EngineTable,
    private readonly directory: PrefixDirectory,
    private readonly group: OwnershipGroup,
    private readonly clock: Clock,
    private readonly hasher: Hasher,
    logger: Logger,
  ) {
    const output = {
      homeOf: (root: bigint) => this.homeOf(root),
      viewVersion: () => group.viewVersion(),
      sendUpdate: (home: string, update: DirectoryUpdate) => this.sendUpdate(home, update),
      onStatus: (status: EngineStatus, homes: ReadonlySet<string>) => this.onStatus(status, homes),
      onUnreachable: (engineId: string) => this.onUnreachable(engineId),
    };
    this.feeds = new EngineFeeds(port, output, clock, logger);
  }

  /** Takes over a machine list and divides the engines anew. */
  assign(machines: readonly Machine[]): void {
    this.machines = machines;
    const engines = machines.filter((machine) => machine.kind === 'engine').map(engineMachineOf);
    this.engines.replaceMachines(engines);
    const working = this.group.working();
    const mine = engines.filter((engine) => this.ownerOf(engine.engineId, working) === this.nodeId);
    this.owned = new Set(mine.map((engine) => engine.engineId));
    this.feeds.setOwned(mine);
  }

  /** Divides again after a change of the group. */
  refresh(): void {
    this.assign(this.machines);
  }

  stop(): void {
    this.feeds.stop();
  }

  /** Takes a report that another owner sent. */
  takeReport(wire: WireReport): void {
    this.engines.putReport(reportFromWire(wire));
    this.directory.setIncarnation(wire.engineId, Number(wire.incarnation));
  }

  /** Takes news of prefixes this router is home of. */
  takeUpdate(update: DirectoryUpdate): void {
    const nowMs = this.clock.now();
    const incarnation = Number(update.incarnation);
    this.directory.setDoubted(update.engineId, update.doubted);
    for (const { mark, present } of update.marks) {
      this.directory.hear(update.engineId, incarnation, mark, present, nowMs);
    }
  }

  private ownerOf(engineId: string, working: readonly string[]): string | undefined {
    return pickByRendezvous(this.hasher, this.hasher.hashText(engineId, 0n), working);
  }

  private homeOf(root: bigint): string {
    const version = this.group.viewVersion();
    if (version !== this.homesVersion) {
      this.homesVersion = version;
      this.homes = this.group.working();
    }
    return pickByRendezvous(this.hasher, root, this.homes) ?? this.nodeId;
  }

  private sendUpdate(home: string, update: DirectoryUpdate): void {
    if (home === this.nodeId) this.takeUpdate(update);
    else this.group.send(home, { case: 'directoryUpdate', value: update });
  }

  private onUnreachable(engineId: string): void {
    this.engines.get(engineId)?.breaker.onFailure(this.clock.now());
  }

  /** Tells identity to all routers and load to the homes of the engine's prefixes, on change. */
  private onStatus(status: EngineStatus, homes: ReadonlySet<string>): void {
    if (!this.owned.has(status.engineId)) return;
    this.engines.putReport(status);
    this.directory.setIncarnation(status.engineId, status.incarnation);
    const now: Told = {
      identity: identityOf(status),
      load: loadOf(status),
      identityAtMs: this.clock.now(),
      viewVersion: this.group.viewVersion(),
    };
    const before = this.told.get(status.engineId);
    if (!before || this.isIdentityDue(before, now)) {
      this.told.set(status.engineId, now);
      this.tell(status, this.group.working());
    } else if (before.load !== now.load) {
      before.load = now.load;
      this.tell(status, homes);
    }
  }

  private isIdentityDue(before: Told, now: Told): boolean {
    if (before.identity !== now.identity || before.viewVersion !== now.viewVersion) return true;
    return now.identityAtMs - before.identityAtMs >= IDENTITY_PERIOD_MS;
  }

  private tell(status: EngineStatus, nodes: Iterable<string>): void {
    const value = reportToWire(status);
    for (const node of nodes) {
      if (node !== this.nodeId) this.group.send(node, { case: 'engineReport', value });
    }
  }
}

function engineMachineOf(machine: Machine): EngineMachine {
  const { id, address, zone, site, leaving } = machine;
  return { engineId: id, address, zone, site, leaving };
}

function identityOf(status: EngineStatus): string {
  const { incarnation, model, weightsDigest, adapterDigest, leaving } = status;
  return JSON.stringify([incarnation, model, weightsDigest, adapterDigest, leaving]);
}

function loadOf(status: EngineStatus): string {
  const { waitingTokens, requests, maximumRequests } = status.load;
  const quarter = Math.max(1, maximumRequests / 4);
  return `${Math.ceil(waitingTokens / LOAD_STEP_TOKENS)}/${Math.ceil(requests / quarter)}`;
}

function reportToWire(status: EngineStatus): WireReport {
  const { load } = status;
  return create(EngineReportSchema, {
    engineId: status.engineId,
    incarnation: BigInt(status.incarnation),
    model: status.model,
    weightsDigest: status.weightsDigest,
    adapterDigest: status.adapterDigest,
    leaving: status.leaving,
    waitingTokens: Math.round(load.waitingTokens),
    requests: load.requests,
    maximumRequests: load.maximumRequests,
    prefillTokensPerSecond: Math.round(load.prefillTokensPerSecond),
  });
}

function reportFromWire(wire: WireReport): EngineReport {
  return {
    engineId: wire.engineId,
    incarnation: Number(wire.incarnation),
    model: wire.model,
    weightsDigest: wire.weightsDigest,
    adapterDigest: wire.adapterDigest,
    leaving: wire.leaving,
    load: {
      waitingTokens: wire.waitingTokens,
      requests: wire.requests,
      maximumRequests: wire.maximumRequests,
      prefillTokensPerSecond: wire.prefillTokensPerSecond,
    },
  };
}
