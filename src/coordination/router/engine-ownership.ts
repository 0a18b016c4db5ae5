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
import { RendezvousAssignment } from '../../state/rendezvous-assignment.js';
import { EngineFeeds } from './engine-feeds.js';

/** What ownership needs to know of the group. */
export interface OwnershipGroup {
  working(): string[];
  send(nodeId: string, body: PeerBody): void;
  /** Passes a change of what an engine serves on to all routers. */
  spread(report: WireReport): void;
}

/** Engine knowledge of one router. */
export class EngineOwnership {
  private readonly feeds: EngineFeeds;
  /** Identity last spread of each owned engine. */
  private readonly told = new Map<string, string>();
  /** Which router follows an engine's feed. */
  private readonly owners: RendezvousAssignment<string>;
  /** Which router is home of a prefix root. */
  private readonly homes: RendezvousAssignment<bigint>;
  private owned = new Set<string>();
  private machines: readonly Machine[] = [];

  constructor(
    private readonly nodeId: string,
    port: EnginePort,
    private readonly engines: EngineTable,
    private readonly directory: PrefixDirectory,
    private readonly group: OwnershipGroup,
    private readonly clock: Clock,
    hasher: Hasher,
    logger: Logger,
  ) {
    const output = {
      homeOf: (root: bigint) => this.homeOf(root),
      forgetRoot: (root: bigint) => this.homes.forget(root),
      sendUpdate: (home: string, update: DirectoryUpdate) => this.sendUpdate(home, update),
      onStatus: (status: EngineStatus) => this.onStatus(status),
      onUnreachable: (engineId: string) => this.onUnreachable(engineId),
    };
    this.owners = new RendezvousAssignment(hasher, (engineId) => hasher.hashText(engineId, 0n));
    this.homes = new RendezvousAssignment(hasher, (root) => root);
    this.feeds = new EngineFeeds(port, output, clock, logger);
  }

  /** Takes over a machine list and divides the engines anew. */
  assign(machines: readonly Machine[]): void {
    const listed = new Set(machines.map((machine) => machine.id));
    for (const { id } of this.machines) if (!listed.has(id)) this.forgetEngine(id);
    this.machines = machines;
    const engines = machines.filter((machine) => machine.kind === 'engine').map(engineMachineOf);
    this.engines.replaceMachines(engines);
    const mine = engines.filter((engine) => this.owners.ownerOf(engine.engineId) === this.nodeId);
    this.owned = new Set(mine.map((engine) => engine.engineId));
    this.feeds.setOwned(mine);
  }

  /** Divides engines and roots again after a change of the group. */
  refresh(): void {
    const working = this.group.working();
    this.owners.setCandidates(working);
    const moved = this.homes.setCandidates(working);
    this.assign(this.machines);
    if (moved.length > 0) this.feeds.resend(new Set(moved));
  }

  stop(): void {
    this.feeds.stop();
  }

  /** Engines on the machine list of which nothing was heard yet. */
  get hasUnknownEngines(): boolean {
    for (const record of this.engines.all()) if (!record.report) return true;
    return false;
  }

  /** All reports known, for a router that joins. */
  reports(): WireReport[] {
    return [...this.engines.all()].flatMap(({ report }) => (report ? [reportToWire(report)] : []));
  }

  /** Takes a report that came from elsewhere; answers whether it was news. */
  takeReport(wire: WireReport): boolean {
    const report = reportFromWire(wire);
    const before = this.engines.reportOf(report.engineId);
    if (!this.engines.putReport(report)) return false;
    this.directory.setIncarnation(report.engineId, report.incarnation);
    return !before || identityOf(before) !== identityOf(report);
  }

  /** Takes news of prefixes this router is home of. */
  takeUpdate(update: DirectoryUpdate): void {
    const nowMs = this.clock.now();
    const incarnation = Number(update.incarnation);
    this.directory.setDoubted(update.engineId, update.doubted);
    const { waitingTokens, requests } = update;
    this.engines.get(update.engineId)?.mergeLoad(waitingTokens, requests);
    for (const { mark, present } of update.marks) {
      this.directory.hear(update.engineId, incarnation, mark, present, nowMs);
    }
  }

  private forgetEngine(engineId: string): void {
    this.owners.forget(engineId);
    this.told.delete(engineId);
    this.directory.dropEngine(engineId);
  }

  private homeOf(root: bigint): string {
    return this.homes.ownerOf(root) ?? this.nodeId;
  }

  private sendUpdate(home: string, update: DirectoryUpdate): void {
    if (home === this.nodeId) this.takeUpdate(update);
    else this.group.send(home, { case: 'directoryUpdate', value: update });
  }

  private onUnreachable(engineId: string): void {
    this.engines.get(engineId)?.breaker.onFailure(this.clock.now());
  }

  /** Spreads a change of what the engine serves to all routers. */
  private onStatus(status: EngineStatus): void {
    const { engineId, incarnation } = status;
    if (!this.owned.has(engineId)) return;
    const report = { ...status, observedAtMs: Math.floor(this.clock.wallNow()) };
    this.engines.putReport(report);
    this.directory.setIncarnation(engineId, incarnation);
    const identity = identityOf(report);
    if (this.told.get(engineId) === identity) return;
    this.told.set(engineId, identity);
    this.group.spread(reportToWire(report));
  }
}

function engineMachineOf(machine: Machine): EngineMachine {
  const { id, address, zone, site, leaving } = machine;
  return { engineId: id, address, zone, site, leaving };
}

function identityOf(status: EngineReport): string {
  const { incarnation, model, weightsDigest, adapterDigest, leaving } = status;
  return JSON.stringify([incarnation, model, weightsDigest, adapterDigest, leaving]);
}

function reportToWire(status: EngineReport): WireReport {
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
    observedAtMs: BigInt(status.observedAtMs),
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
    observedAtMs: Number(wire.observedAtMs),
    load: {
      waitingTokens: wire.waitingTokens,
      requests: wire.requests,
      maximumRequests: wire.maximumRequests,
      prefillTokensPerSecond: wire.prefillTokensPerSecond,
    },
  };
}
