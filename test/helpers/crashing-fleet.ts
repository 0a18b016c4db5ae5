/**
 * Reads at a service of plain engines that crash together, or under a request that crashes engines.
 */
import { findBreaches } from '../../src/lab/gateway-simulation/gateway-oracle.js';
import { GatewaySimulation } from '../../src/lab/gateway-simulation/gateway-simulation.js';
import type { ObservedRequest } from '../../src/lab/gateway-simulation/simulation-records.js';
import type { SimulationMutation } from '../../src/lab/gateway-simulation/simulation-mutation.js';
import {
  CRASHING_BODY,
  GENERATION_SERVICE,
  KINDS,
  PLAIN_SERVICE,
} from '../../src/lab/gateway-simulation/simulation-fixtures.js';
import { HttpStatus } from '../../src/protocol/http-status.js';

/** Time between two sound reads. */
const READ_INTERVAL_MS = 40;
/** Copies of the popular read that are in progress at the engines. */
const COPIES = 18;
const POPULAR = 'popular read';
const OTHER = 'other read';
const TENANTS = ['tenant-1', 'tenant-2'] as const;
const LAST_READS = 100;
const PLAIN_ENGINES = 3;
/** Longer than any test plays. */
const STOPPED_MS = 600_000;
/** The other routers are known to have stopped by then. */
const NOTICED_MS = 3_000;
/** All reads have ended by then. */
const SETTLE_MS = 4_000;

/** What became of the sound reads. */
export interface ReadResults {
  readonly sent: number;
  /** Rejected for good by a router. */
  readonly denied: number;
  /** Served of the last 100. */
  readonly lastServed: number;
}

/** A simulated deployment with three plain engines, and the sound reads that it was sent. */
export class CrashingFleet {
  readonly soundReads: ObservedRequest[] = [];
  private reads = 0;
  private hasOneRouter = false;

  private constructor(
    readonly simulation: GatewaySimulation,
    private readonly serviceMs: number,
  ) {}

  /**
   * @param serviceMs duration of a read at its engine
   */
  static async create(
    seed: number,
    serviceMs: number,
    mutation: SimulationMutation = {},
  ): Promise<CrashingFleet> {
    const simulation = await GatewaySimulation.create(seed, mutation);
    const fleet = new CrashingFleet(simulation, serviceMs);
    while (fleet.plainEngines().length < PLAIN_ENGINES) simulation.fleet.add(PLAIN_SERVICE);
    simulation.fleet.setCapacity(PLAIN_SERVICE, { slots: 32, queued: 32, serviceMs });
    await simulation.clock.advance(1_000);
    return fleet;
  }

  /** Indexes of the running plain engines. */
  plainEngines(): number[] {
    return this.enginesOf(PLAIN_SERVICE);
  }

  /** Takes all engines of the other service away. */
  removeOtherService(): void {
    const { fleet, store } = this.simulation;
    for (const index of this.enginesOf(GENERATION_SERVICE)) {
      const engine = fleet.engine(index);
      engine.crash();
      store.remove(KINDS.engines, engine.name);
    }
  }

  /** Stops all routers but one, which then can ask no other one whether it reaches an engine. */
  async keepOneRouter(): Promise<void> {
    this.hasOneRouter = true;
    for (let index = 1; index < this.simulation.routerCount; index += 1)
      this.simulation.killRouter(index, STOPPED_MS);
    await this.simulation.clock.advance(NOTICED_MS);
  }

  /** Waits until the last reads have ended. */
  async settle(): Promise<void> {
    await this.simulation.clock.advance(SETTLE_MS);
  }

  /** Sends sound reads to all routers in turn, of two kinds and two tenants. */
  async read(forMs: number, beside: (elapsedMs: number) => void = () => undefined): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += READ_INTERVAL_MS) {
      beside(elapsedMs);
      this.readOnce(this.reads % 2 === 0 ? POPULAR : OTHER, Math.floor(this.reads / 2));
      await this.simulation.clock.advance(READ_INTERVAL_MS);
    }
  }

  /** Crashes all plain engines while copies of the popular read are in progress at each of them. */
  async crashDuringReads(apartMs = 0): Promise<void> {
    for (let copy = 0; copy < COPIES; copy += 1) this.readOnce(POPULAR, 0);
    await this.simulation.clock.advance(this.serviceMs / 3);
    for (const index of this.plainEngines()) {
      this.simulation.fleet.crash(index);
      if (apartMs > 0) await this.read(apartMs);
    }
  }

  /** Sends a read that crashes its engine, at once to several routers. */
  sendCrashing(copies: number): void {
    for (let copy = 0; copy < copies; copy += 1)
      this.simulation.request(this.routerOf(copy), 'plain-safe', 'tenant-2', 0, CRASHING_BODY);
  }

  /** Engines that the crashing read has ended. */
  get enginesEnded(): number {
    const { crashes } = this.simulation.observations;
    return crashes.filter(({ crashedMs }) => crashedMs !== undefined).length;
  }

  /** Violations of the bound on what has crashed several engines. */
  get unboundedCrashes(): string[] {
    return findBreaches(this.simulation)
      .filter(({ rule }) => rule === 'crashes-bounded')
      .map(({ detail }) => detail);
  }

  /** Results of the sound reads. */
  results(): ReadResults {
    const last = this.soundReads.slice(-LAST_READS);
    return {
      sent: this.soundReads.length,
      denied: this.soundReads.filter(({ reply }) => isDenied(reply.own?.status)).length,
      lastServed: last.filter(({ reply }) => reply.status === HttpStatus.Ok).length,
    };
  }

  private enginesOf(service: string): number[] {
    const { fleet } = this.simulation;
    return [...Array(fleet.size).keys()].filter((index) => {
      const engine = fleet.engine(index);
      return engine.isRunning && engine.service === service;
    });
  }

  private routerOf(turn: number): number {
    return this.hasOneRouter ? 0 : turn;
  }

  private readOnce(body: string, turn: number): void {
    const tenant = TENANTS[turn % TENANTS.length] ?? TENANTS[0];
    this.simulation.request(this.routerOf(this.reads), 'plain-safe', tenant, 0, body);
    this.reads += 1;
    const request = this.simulation.requests.at(-1);
    if (request) this.soundReads.push(request);
  }
}

function isDenied(status: number | undefined): boolean {
  return status !== undefined && status >= 400 && status < 500 && status !== 429;
}
