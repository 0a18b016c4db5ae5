/** Runs one policy on the arrivals of a workload, on a virtual clock. */
import { type Hasher, createHasher } from '../../runtime/hasher.js';
import { type RandomSource, SeededRandom } from '../../runtime/random.js';
import { repeat } from '../../runtime/clock.js';
import { VirtualClock } from '../../runtime/virtual-clock.js';
import { BYTES_PER_TOKEN } from '../../state/prefix-chain.js';
import { EngineCore } from '../engine/engine-core.js';
import type { EngineModelSettings } from '../engine/settings.js';
import type { EngineSequence, SequenceReader } from '../engine/sequence.js';
import { createTokenModel } from '../engine/token-model.js';
import { type MeasurementSummary, Measurements } from '../load/measurements.js';
import { type CallerProfile, Workload } from '../load/workload.js';
import {
  LeastLoadedPolicy,
  PerfectKnowledgePolicy,
  PrefixHashPolicy,
  RandomPolicy,
} from './baseline-policies.js';
import { PeatspanPolicy } from './peatspan-policy.js';
import { type HashedRequest, hashRequest } from './hashed-request.js';
import type { Policy } from './policy.js';

/** Interval at which the policy reads events and status of the engines. */
const REFRESH_INTERVAL_MS = 300;
/** Latency from the caller's agent through a router to the engine. */
const ONE_WAY_LATENCY_MS = 3;
const MS_PER_SECOND = 1_000;
/** Time for the last requests to finish. */
const DRAIN_MS = 30_000;

/** A workload and the engines that serve it. */
export interface Experiment {
  readonly engines: readonly EngineModelSettings[];
  readonly profiles: readonly CallerProfile[];
  readonly requestsPerSecond: number;
  readonly seconds: number;
  /** Interval at which the hot branches change; 0 for never. */
  readonly shiftSeconds: number;
  /** Requests that arrive earlier only warm the caches and are not measured. */
  readonly warmUpSeconds: number;
  readonly recomputeWeight: number;
}

/** Names of all policies, in display order. */
export const POLICY_NAMES = [
  'random',
  'least loaded',
  'prefix hashing',
  'peatspan',
  'perfect knowledge',
] as const;

export type PolicyName = (typeof POLICY_NAMES)[number];

/** Measurements of one policy. */
export interface PolicyResult extends MeasurementSummary {
  readonly policy: PolicyName;
}

/** Runs one policy. The same seed gives the same arrivals for every policy. */
export async function runPolicy(
  experiment: Experiment,
  name: PolicyName,
  seed: number,
): Promise<PolicyResult> {
  const run = await PolicyRun.create(experiment, name, seed);
  return { policy: name, ...(await run.finish()) };
}

class PolicyRun {
  private readonly clock = new VirtualClock();
  private readonly arrivalRandom: RandomSource;
  private readonly workload: Workload;
  private readonly measurements = new Measurements();
  private readonly engines: EngineCore[] = [];
  private sentRequests = 0;

  private constructor(
    private readonly experiment: Experiment,
    private readonly hasher: Hasher,
    seed: number,
  ) {
    this.arrivalRandom = new SeededRandom(seed);
    this.workload = new Workload(experiment.profiles, new SeededRandom(seed + 1));
  }

  static async create(experiment: Experiment, name: PolicyName, seed: number): Promise<PolicyRun> {
    const hasher = await createHasher();
    const model = await createTokenModel();
    const run = new PolicyRun(experiment, hasher, seed);
    const engineRandom = new SeededRandom(seed + 2);
    for (const settings of experiment.engines) {
      run.engines.push(new EngineCore({ ...settings }, run.clock, engineRandom, hasher, model, 1));
    }
    run.start(run.createPolicy(name, new SeededRandom(seed + 3)));
    return run;
  }

  async finish(): Promise<MeasurementSummary> {
    await this.clock.advance(this.experiment.seconds * MS_PER_SECOND + DRAIN_MS);
    return this.measurements.summary();
  }

  private createPolicy(name: PolicyName, random: RandomSource): Policy {
    const { recomputeWeight } = this.experiment;
    switch (name) {
      case 'random':
        return new RandomPolicy(random);
      case 'least loaded':
        return new LeastLoadedPolicy(random);
      case 'prefix hashing':
        return new PrefixHashPolicy(this.hasher);
      case 'peatspan':
        return new PeatspanPolicy(this.engines, recomputeWeight, this.hasher, random);
      case 'perfect knowledge':
        return new PerfectKnowledgePolicy(recomputeWeight);
    }
  }

  private start(policy: Policy): void {
    policy.refresh(0);
    repeat(this.clock, REFRESH_INTERVAL_MS, () => policy.refresh(this.clock.now()));
    const { shiftSeconds } = this.experiment;
    if (shiftSeconds > 0) {
      repeat(this.clock, shiftSeconds * MS_PER_SECOND, () => this.workload.shiftBranches());
    }
    this.scheduleArrival(policy);
  }

  /** Schedules the next arrival of a Poisson process. */
  private scheduleArrival(policy: Policy): void {
    const gapMs =
      (-Math.log(1 - this.arrivalRandom.next()) / this.experiment.requestsPerSecond) *
      MS_PER_SECOND;
    this.clock.setTimer(gapMs, () => {
      if (this.clock.now() > this.experiment.seconds * MS_PER_SECOND) return;
      this.handleArrival(policy);
      this.scheduleArrival(policy);
    });
  }

  private handleArrival(policy: Policy): void {
    const sample = this.workload.next();
    const { model } = sample.profile;
    const candidates = this.engines.filter((core) => core.settings.model === model);
    const weightsDigest = candidates[0]?.settings.weightsDigest ?? '';
    const request = hashRequest(this.hasher, sample, weightsDigest, this.clock.now());
    const engine = policy.choose(request, candidates, this.clock.now());
    this.clock.setTimer(ONE_WAY_LATENCY_MS, () => this.send(policy, request, engine));
  }

  private send(policy: Policy, request: HashedRequest, engine: EngineCore): void {
    this.sentRequests += 1;
    const { profile } = request.sample;
    const result = engine.accept({
      engineRequestId: `request-${this.sentRequests}`,
      model: profile.model,
      weightsDigest: request.weightsDigest,
      adapterDigest: '',
      cacheSalt: request.cacheSalt,
      prompt: request.prompt,
      continuation: '',
      maxTokens: profile.maxTokens,
      priority: 0,
    });
    if (result.kind === 'refused') this.record(request, result.reason, undefined);
    else this.observeStart(policy, request, engine, result.sequence);
  }

  private observeStart(
    policy: Policy,
    request: HashedRequest,
    engine: EngineCore,
    sequence: EngineSequence,
  ): void {
    const reader: SequenceReader = {
      onProgress: () => {
        if (!sequence.started) return;
        sequence.readers.delete(reader);
        this.clock.setTimer(ONE_WAY_LATENCY_MS, () => {
          policy.onStart(request, engine, sequence.cachedTokens, this.clock.now());
          this.record(request, '', sequence);
        });
      },
      onLost: () => this.record(request, 'lost', undefined),
    };
    sequence.readers.add(reader);
  }

  private record(
    request: HashedRequest,
    error: string,
    sequence: EngineSequence | undefined,
  ): void {
    if (request.arrivalMs < this.experiment.warmUpSeconds * MS_PER_SECOND) return;
    this.measurements.add({
      error,
      firstTokenMs: this.clock.now() - request.arrivalMs,
      promptTokens: sequence?.promptTokens ?? 0,
      cachedTokens: sequence?.cachedTokens ?? 0,
      repeatedTokens: Math.floor(request.sample.repeatedCharacters / BYTES_PER_TOKEN),
    });
  }
}
