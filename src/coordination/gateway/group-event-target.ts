/** Connects the group's socket, which is bound first, with those who hear of and tell its news. */
import type { StorePosition } from '../../runtime/store-position.js';
import type { CrashNews } from '../../state/routing/crash-news-board.js';
import { LoadTable } from '../../state/routing/load-table.js';
import type { WeightsNews } from '../../state/routing/weights-news.js';
import type { LimitNotice } from '../../state/routing/engine-limits.js';
import type { CrashGuard } from './crash-guard.js';
import type { GroupEvents } from './group-reports.js';
import type { LimitNews } from './limit-news.js';
import type { VersionNews, VersionNotice } from './version-news.js';
import type { WeightCoordinator } from './weight-coordinator.js';

const NO_CRASH_NEWS: CrashNews = { crashes: [], quarantine: [] };

/** What must exist before the group's socket is bound; whom it serves is connected after. */
export class GroupEventTarget implements GroupEvents {
  readonly loads = new LoadTable();
  private coordinator: WeightCoordinator | undefined;
  private versionNews: VersionNews | undefined;
  private crashGuard: CrashGuard | undefined;
  private limits: LimitNews | undefined;

  connect(
    coordinator: WeightCoordinator,
    versionNews: VersionNews,
    crashGuard: CrashGuard,
    limits: LimitNews,
  ): void {
    this.coordinator = coordinator;
    this.versionNews = versionNews;
    this.crashGuard = crashGuard;
    this.limits = limits;
  }

  get hasCrashNews(): boolean {
    return this.crashGuard?.hasNews ?? false;
  }

  takeCrashNews(): CrashNews {
    return this.crashGuard?.takeNews() ?? NO_CRASH_NEWS;
  }

  onCrashNews(news: CrashNews, isPassedOn: boolean): boolean {
    return this.crashGuard?.receive(news, isPassedOn) ?? false;
  }

  limitNotices(): readonly LimitNotice[] {
    return this.limits?.notices ?? [];
  }

  onLimitNotice(notice: LimitNotice): void {
    this.limits?.receive(notice);
  }

  weightsNews(): readonly WeightsNews[] {
    return this.coordinator?.news ?? [];
  }

  onWeightsNews(news: WeightsNews): void {
    this.coordinator?.receiveNews(news);
  }

  heldLease(): StorePosition | undefined {
    return this.coordinator?.heldLease;
  }

  onHeldLease(holder: string, position: StorePosition): void {
    this.coordinator?.receiveLease(holder, position);
  }

  versionNotices(): readonly VersionNotice[] {
    return this.versionNews?.notices ?? [];
  }

  onVersionNotice(notice: VersionNotice): void {
    this.versionNews?.receive(notice);
  }
}
