/** Connects the group's socket, which is bound first, with those who hear of and tell its news. */
import type { StorePosition } from '../../runtime/store-position.js';
import type { CrashAnnouncements } from '../../state/routing/crash-announcement-queue.js';
import { LoadTable } from '../../state/routing/load-table.js';
import type { WeightLoadAnnouncement } from '../../state/routing/weight-load-announcements.js';
import type { EngineLimitAnnouncement } from '../../state/routing/engine-limits.js';
import type { CrashGuard } from './crash-guard.js';
import type { GroupEvents } from './group-reports.js';
import type { EngineLimitDiscovery } from './engine-limit-discovery.js';
import type {
  WeightVersionDiscovery,
  WeightVersionAnnouncement,
} from './weight-version-discovery.js';
import type { WeightCoordinator } from './weight-coordinator.js';

const NO_CRASH_NEWS: CrashAnnouncements = { crashes: [], quarantine: [] };

/** What must exist before the group's socket is bound; whom it serves is connected after. */
export class GroupEventTarget implements GroupEvents {
  readonly loads = new LoadTable();
  private coordinator: WeightCoordinator | undefined;
  private versionNews: WeightVersionDiscovery | undefined;
  private crashGuard: CrashGuard | undefined;
  private limits: EngineLimitDiscovery | undefined;

  connect(
    coordinator: WeightCoordinator,
    versionNews: WeightVersionDiscovery,
    crashGuard: CrashGuard,
    limits: EngineLimitDiscovery,
  ): void {
    this.coordinator = coordinator;
    this.versionNews = versionNews;
    this.crashGuard = crashGuard;
    this.limits = limits;
  }

  get hasCrashNews(): boolean {
    return this.crashGuard?.hasNews ?? false;
  }

  takeCrashNews(): CrashAnnouncements {
    return this.crashGuard?.takeNews() ?? NO_CRASH_NEWS;
  }

  onCrashNews(news: CrashAnnouncements, isPassedOn: boolean): boolean {
    return this.crashGuard?.receive(news, isPassedOn) ?? false;
  }

  limitNotices(): readonly EngineLimitAnnouncement[] {
    return this.limits?.notices ?? [];
  }

  onLimitNotice(notice: EngineLimitAnnouncement): void {
    this.limits?.receive(notice);
  }

  weightsNews(): readonly WeightLoadAnnouncement[] {
    return this.coordinator?.news ?? [];
  }

  onWeightsNews(news: WeightLoadAnnouncement): void {
    this.coordinator?.receiveNews(news);
  }

  heldLease(): StorePosition | undefined {
    return this.coordinator?.heldLease;
  }

  onHeldLease(holder: string, position: StorePosition): void {
    this.coordinator?.receiveLease(holder, position);
  }

  versionNotices(): readonly WeightVersionAnnouncement[] {
    return this.versionNews?.notices ?? [];
  }

  onVersionNotice(notice: WeightVersionAnnouncement): void {
    this.versionNews?.receive(notice);
  }
}
