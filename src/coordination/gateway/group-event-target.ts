/** Connects the group's socket, which is bound first, to the sources and handlers of reports. */
import type { StorePosition } from '../../runtime/store-position.js';
import type { CrashAnnouncements } from '../../state/routing/crash-announcement-queue.js';
import { LoadTable } from '../../state/routing/load-table.js';
import type { WeightLoadAnnouncement } from '../../state/routing/weight-load-announcements.js';
import type { EngineLimitAnnouncement } from '../../state/routing/engine-limits.js';
import type { CrashGuard } from './crash-guard.js';
import type { GroupEvents } from './group-reports.js';
import type { EngineForwarding } from './engine-path/engine-forwarding.js';
import type { EngineLimitDiscovery } from './engine-limit-discovery.js';
import type {
  WeightVersionDiscovery,
  WeightVersionAnnouncement,
} from './weight-version-discovery.js';
import type { WeightCoordinator } from './weight-coordinator.js';

const NO_CRASH_ANNOUNCEMENTS: CrashAnnouncements = { crashes: [], quarantine: [] };

/** Forwards group events to components that are created after the group's socket is bound. */
export class GroupEventTarget implements GroupEvents {
  readonly loads = new LoadTable();
  private coordinator: WeightCoordinator | undefined;
  private versionDiscovery: WeightVersionDiscovery | undefined;
  private crashGuard: CrashGuard | undefined;
  private limitDiscovery: EngineLimitDiscovery | undefined;
  private forwarding: EngineForwarding | undefined;

  connect(
    coordinator: WeightCoordinator,
    versionDiscovery: WeightVersionDiscovery,
    crashGuard: CrashGuard,
    limitDiscovery: EngineLimitDiscovery,
    forwarding: EngineForwarding,
  ): void {
    this.coordinator = coordinator;
    this.versionDiscovery = versionDiscovery;
    this.crashGuard = crashGuard;
    this.limitDiscovery = limitDiscovery;
    this.forwarding = forwarding;
  }

  get hasCrashAnnouncements(): boolean {
    return this.crashGuard?.hasAnnouncements ?? false;
  }

  takeCrashAnnouncements(): CrashAnnouncements {
    return this.crashGuard?.takeAnnouncements() ?? NO_CRASH_ANNOUNCEMENTS;
  }

  onCrashAnnouncements(announcements: CrashAnnouncements, isRelayed: boolean): boolean {
    return this.crashGuard?.receive(announcements, isRelayed) ?? false;
  }

  limitAnnouncements(): readonly EngineLimitAnnouncement[] {
    return this.limitDiscovery?.announcements ?? [];
  }

  onLimitAnnouncement(announcement: EngineLimitAnnouncement): void {
    this.limitDiscovery?.receive(announcement);
  }

  forwardingAddress(): string {
    return this.forwarding?.offeredAddress ?? '';
  }

  onForwardingAddress(sender: string, address: string): void {
    this.forwarding?.receiveOffer(sender, address);
  }

  weightLoadAnnouncements(): readonly WeightLoadAnnouncement[] {
    return this.coordinator?.loadAnnouncements ?? [];
  }

  onWeightLoadAnnouncement(announcement: WeightLoadAnnouncement): void {
    this.coordinator?.receiveAnnouncement(announcement);
  }

  heldLease(): StorePosition | undefined {
    return this.coordinator?.heldLease;
  }

  onHeldLease(holder: string, position: StorePosition): void {
    this.coordinator?.receiveLease(holder, position);
  }

  versionAnnouncements(): readonly WeightVersionAnnouncement[] {
    return this.versionDiscovery?.versionAnnouncements ?? [];
  }

  onVersionAnnouncement(announcement: WeightVersionAnnouncement): void {
    this.versionDiscovery?.receive(announcement);
  }
}
