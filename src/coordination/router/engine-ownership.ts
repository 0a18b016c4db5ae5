/**
 * Decides which engines' feeds this router reads, sends updates to home routers and applies those
 * that it receives. Owners are chosen by rendezvous hashing over the local view of the group,
 * without coordination, as two readers of a feed are harmless.
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

/** The router group, as needed for ownership. */
export interface OwnershipGroup {
  working(): string[];
  send(nodeId: string, body: PeerBody): void;
  /** Announces a change of an engine's served model or state to all routers. */
  announceReport(report: WireReport): void;
}

/** Engine ownership and engine reports of one router. */
export class EngineOwnership {
  private readonly feeds: EngineFeeds;
  /** Last announced state of each owned engine. */
  private readonly announcedStates = new Map<string, string>();
  /** Assigns each engine to the router that reads its feed. */
  private readonly owners: RendezvousAssignment<string>;
  /** Assigns each prefix root to its home router. */
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

  /** Applies a machine list and reassigns the engines. */
  assign(machines: readonly Machine[]): void {
    const listed = new Set(machines.map((machine) => machine.id));
    for (const { id } of this.machines) if (!listed.has(id)) this.forgetEngine(id);
    this.machines = machines;
    const engines = machines.filter((machine) => machine.kind === 'engine').map(engineMachineOf);
    this.engines.replaceMachines(engines);
    const ownedEngines = engines.filter(
      (engine) => this.owners.ownerOf(engine.engineId) === this.nodeId,
    );
    this.owned = new Set(ownedEngines.map((engine) => engine.engineId));
    this.feeds.setOwned(ownedEngines);
  }

  /** Reassigns engines and roots after a change of the group. */
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

  /** Whether the machine list has engines without a report. */
  get hasUnknownEngines(): boolean {
    for (const record of this.engines.all()) if (!record.report) return true;
    return false;
  }

  /** All known reports, for a joining router. */
  reports(): WireReport[] {
    return [...this.engines.all()].flatMap(({ report }) => (report ? [reportToWire(report)] : []));
  }

  /** Applies a received report; returns whether the served state of the engine changed. */
  applyReport(wire: WireReport): boolean {
    const report = reportFromWire(wire);
    const before = this.engines.reportOf(report.engineId);
    if (!this.engines.putReport(report)) return false;
    this.directory.setIncarnation(report.engineId, report.incarnation);
    return !before || servedStateOf(before) !== servedStateOf(report);
  }

  /** Applies an update of prefixes whose home is this router. */
  applyUpdate(update: DirectoryUpdate): void {
    const nowMs = this.clock.now();
    const incarnation = Number(update.incarnation);
    this.directory.setFeedGap(update.engineId, update.doubted);
    const { waitingTokens, requests } = update;
    this.engines.get(update.engineId)?.mergeLoad(waitingTokens, requests);
    for (const { mark, present } of update.marks) {
      this.directory.recordMark(update.engineId, incarnation, mark, present, nowMs);
    }
  }

  private forgetEngine(engineId: string): void {
    this.owners.forget(engineId);
    this.announcedStates.delete(engineId);
    this.directory.dropEngine(engineId);
  }

  private homeOf(root: bigint): string {
    return this.homes.ownerOf(root) ?? this.nodeId;
  }

  private sendUpdate(home: string, update: DirectoryUpdate): void {
    if (home === this.nodeId) this.applyUpdate(update);
    else this.group.send(home, { case: 'directoryUpdate', value: update });
  }

  private onUnreachable(engineId: string): void {
    this.engines.get(engineId)?.breaker.onFailure(this.clock.now());
  }

  /** Announces the status of an owned engine to all routers if its served state changed. */
  private onStatus(status: EngineStatus): void {
    const { engineId, incarnation } = status;
    if (!this.owned.has(engineId)) return;
    const report = { ...status, observedAtMs: Math.floor(this.clock.wallNow()) };
    this.engines.putReport(report);
    this.directory.setIncarnation(engineId, incarnation);
    const servedState = servedStateOf(report);
    if (this.announcedStates.get(engineId) === servedState) return;
    this.announcedStates.set(engineId, servedState);
    this.group.announceReport(reportToWire(report));
  }
}

function engineMachineOf(machine: Machine): EngineMachine {
  const { id, address, zone, site, leaving } = machine;
  return { engineId: id, address, zone, site, leaving };
}

function servedStateOf(status: EngineReport): string {
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
