/** Connects the group's socket, which is bound first, with those who hear of and tell its news. */
import { LoadTable } from '../../state/routing/load-table.js';
import type { WeightsNews } from '../../state/routing/weights-news.js';
import type { GroupEvents } from './group-reports.js';
import type { VersionNews, VersionNotice } from './version-news.js';
import type { WeightCoordinator } from './weight-coordinator.js';

/** What must exist before the group's socket is bound; whom it serves is connected after. */
export class GroupEventTarget implements GroupEvents {
  readonly loads = new LoadTable();
  private coordinator: WeightCoordinator | undefined;
  private versionNews: VersionNews | undefined;

  connect(coordinator: WeightCoordinator, versionNews: VersionNews): void {
    this.coordinator = coordinator;
    this.versionNews = versionNews;
  }

  weightsNews(): readonly WeightsNews[] {
    return this.coordinator?.news ?? [];
  }

  onWeightsNews(news: WeightsNews): void {
    this.coordinator?.receiveNews(news);
  }

  heldLease(): number | undefined {
    return this.coordinator?.heldLease;
  }

  onHeldLease(holder: string, revision: number): void {
    this.coordinator?.receiveLease(holder, revision);
  }

  versionNotices(): readonly VersionNotice[] {
    return this.versionNews?.notices ?? [];
  }

  onVersionNotice(notice: VersionNotice): void {
    this.versionNews?.receive(notice);
  }
}
