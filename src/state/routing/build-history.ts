/**
 * Which builds of each service this router has seen recently. While a service has had one build for as
 * long as a stream can live, every stream began at that build. Pure.
 */
import type { EngineRecord } from './engine-record.js';

/** The builds of all services. Engines whose build is not known say nothing. */
export class BuildHistory {
  /** Time until which each build was seen, by service and build. */
  private readonly lastSeenMs = new Map<string, Map<string, number>>();
  private present: readonly EngineRecord[] = [];

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
    for (const record of this.present) this.note(record, nowMs);
    const mixedBefore = this.mixedServices(nowMs);
    for (const record of engines) this.note(record, nowMs);
    this.present = engines;
    this.expire(nowMs);
    return [...this.mixedServices(nowMs)].filter((service) => !mixedBefore.has(service));
  }

  /** Whether the service has had more than one build within the retention. */
  isMixed(service: string, nowMs: number): boolean {
    const builds = this.lastSeenMs.get(service);
    if (!builds || builds.size < 2) return false;
    const recent = [...builds.values()].filter((seenMs) => nowMs - seenMs <= this.retentionMs);
    return recent.length > 1;
  }

  private mixedServices(nowMs: number): Set<string> {
    return new Set([...this.lastSeenMs.keys()].filter((service) => this.isMixed(service, nowMs)));
  }

  private note({ service, build }: EngineRecord, nowMs: number): void {
    if (build === undefined) return;
    let builds = this.lastSeenMs.get(service);
    if (!builds) {
      builds = new Map();
      this.lastSeenMs.set(service, builds);
    }
    builds.set(build, nowMs);
  }

  private expire(nowMs: number): void {
    for (const builds of this.lastSeenMs.values()) {
      for (const [build, seenMs] of builds) {
        if (nowMs - seenMs > this.retentionMs) builds.delete(build);
      }
    }
  }
}
