/**
 * Which builds each service has had recently, as this router has seen or read. While a service has had
 * one build for as long as a stream can live, every stream began at that build. Pure.
 */
import type { EngineRecord } from './engine-record.js';

/** Builds by service; names and builds are in order. */
export type ServiceBuilds = ReadonlyMap<string, readonly string[]>;

/** Time without an engine after which a build that has one again has returned. */
export const BUILD_ABSENCE_MS = 5_000;

/** When one build of a service was seen. */
interface BuildSighting {
  readonly firstSeenMs: number;
  /** Time until which it was seen. */
  lastSeenMs: number;
  /** Whether this router has seen an engine of it. */
  hadEngine: boolean;
  /** Time at which it last got an engine after it had none; -Infinity if that was not seen. */
  returnedMs: number;
}

/** The builds of all services. Engines whose build is not known say nothing. */
export class BuildHistory {
  /** By service and build. */
  private readonly sightings = new Map<string, Map<string, BuildSighting>>();
  private present: readonly EngineRecord[] = [];
  private changes = 0;

  /** @param retentionMs time for which a build counts after its last engine has gone */
  constructor(private readonly retentionMs: number) {}

  /**
   * Records the engines that are registered now. Must be called after each change of them, and
   * periodically.
   *
   * @returns services that have got a second build
   */
  update(engines: readonly EngineRecord[], nowMs: number): string[] {
    // Engines that have gone were present until now.
    for (const record of this.present) this.noteEngine(record, nowMs);
    const mixedBefore = this.mixedServices(nowMs);
    for (const record of engines) this.noteEngine(record, nowMs);
    this.present = engines;
    this.expire(nowMs);
    return [...this.mixedServices(nowMs)].filter((service) => !mixedBefore.has(service));
  }

  /** Increases whenever a build is added or expires. */
  get version(): number {
    return this.changes;
  }

  /** Whether the service has had more than one build within the retention. */
  isMixed(service: string, nowMs: number): boolean {
    const builds = this.sightings.get(service);
    if (!builds || builds.size < 2) return false;
    return this.recentOf(service, nowMs).length > 1;
  }

  /** The builds that the service has had within the retention. */
  recentOf(service: string, nowMs: number): string[] {
    const builds = [...(this.sightings.get(service) ?? [])];
    return builds
      .filter(([, { lastSeenMs }]) => nowMs - lastSeenMs <= this.retentionMs)
      .map(([build]) => build);
  }

  /** Those of the builds that the service has had since the earliest time; none if it has had none of them. */
  earliestOf(service: string, builds: ReadonlySet<string>): ReadonlySet<string> {
    const seen = [...(this.sightings.get(service) ?? [])].filter(([build]) => builds.has(build));
    const firstMs = Math.min(...seen.map(([, { firstSeenMs }]) => firstSeenMs));
    return new Set(
      seen.filter(([, { firstSeenMs }]) => firstSeenMs === firstMs).map(([build]) => build),
    );
  }

  /** Whether this router has seen an engine of the build within the retention. */
  hadEngine(service: string, build: string): boolean {
    return this.sightings.get(service)?.get(build)?.hadEngine ?? false;
  }

  /** Records that a service has had a build until now, as another router has seen. */
  note(service: string, build: string, nowMs: number): void {
    let builds = this.sightings.get(service);
    if (!builds) {
      builds = new Map();
      this.sightings.set(service, builds);
    }
    const sighting = builds.get(build);
    if (sighting) {
      sighting.lastSeenMs = nowMs;
      return;
    }
    builds.set(build, {
      firstSeenMs: nowMs,
      lastSeenMs: nowMs,
      hadEngine: false,
      returnedMs: -Infinity,
    });
    this.changes += 1;
  }

  /** Time at which the build last got an engine after it had none; `nowMs` if it has none now. */
  returnedMs(service: string, build: string, nowMs: number): number {
    const sighting = this.sightings.get(service)?.get(build);
    return sighting && isPresent(sighting, nowMs) ? sighting.returnedMs : nowMs;
  }

  /** The engines of the last update. */
  get engines(): readonly EngineRecord[] {
    return this.present;
  }

  /** The builds of all services within the retention, at the time of the last update. */
  get builds(): ServiceBuilds {
    const services = [...this.sightings].filter(([, builds]) => builds.size > 0).sort();
    return new Map(services.map(([service, builds]) => [service, [...builds.keys()].sort()]));
  }

  private mixedServices(nowMs: number): Set<string> {
    return new Set([...this.sightings.keys()].filter((service) => this.isMixed(service, nowMs)));
  }

  private noteEngine({ service, build }: EngineRecord, nowMs: number): void {
    if (build === undefined) return;
    const returnedMs = this.returnedMs(service, build, nowMs);
    this.note(service, build, nowMs);
    const sighting = this.sightings.get(service)?.get(build);
    if (!sighting) return;
    sighting.returnedMs = returnedMs;
    sighting.hadEngine = true;
  }

  private expire(nowMs: number): void {
    for (const builds of this.sightings.values()) {
      for (const [build, { lastSeenMs }] of builds) {
        if (nowMs - lastSeenMs <= this.retentionMs) continue;
        builds.delete(build);
        this.changes += 1;
      }
    }
  }
}

function isPresent({ lastSeenMs }: BuildSighting, nowMs: number): boolean {
  return nowMs - lastSeenMs <= BUILD_ABSENCE_MS;
}
