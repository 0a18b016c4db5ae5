/** Connects the group's socket, which is bound first, to the sources and handlers of reports. */
import type { StorePosition } from '../../runtime/store-position.js';
import {
  NO_CRASH_ANNOUNCEMENTS,
  type SuspectAnnouncements,
} from '../../state/routing/crash-announcement-queue.js';
import { LoadTable } from '../../state/routing/load-table.js';
import type { WeightLoadAnnouncement } from '../../state/routing/weight-load-announcements.js';
import type { EngineLimitAnnouncement } from '../../state/routing/engine-limits.js';
import type { BrittleEngineAnnouncement } from '../../state/routing/brittle-engines.js';
import type { BrittleEngineDiscovery } from './brittle-engine-discovery.js';
import type { CrashProtection } from './crash-protection.js';
import type { GroupEvents } from './group-reports.js';
import type { EngineForwarding } from './engine-path/engine-forwarding.js';
import type { EngineLimitDiscovery } from './engine-limit-discovery.js';
import type {
  WeightVersionDiscovery,
  WeightVersionAnnouncement,
} from './weight-version-discovery.js';
import type { WeightCoordinator } from './weight-coordinator.js';

const NO_SUSPECT_ANNOUNCEMENTS: SuspectAnnouncements = {
  requests: NO_CRASH_ANNOUNCEMENTS,
  promptParts: NO_CRASH_ANNOUNCEMENTS,
};

/** The components of one router that supply and handle the contents of reports. */
export interface GroupEventHandlers {
  readonly coordinator: WeightCoordinator;
  readonly versionDiscovery: WeightVersionDiscovery;
  readonly crashes: CrashProtection;
  readonly limitDiscovery: EngineLimitDiscovery;
  readonly brittleness: BrittleEngineDiscovery;
  readonly forwarding: EngineForwarding;
}

/** Forwards group events to components that are created after the group's socket is bound. */
export class GroupEventTarget implements GroupEvents {
  readonly loads = new LoadTable();
  private handlers: GroupEventHandlers | undefined;

  /** Must be called before the group is joined. */
  connect(handlers: GroupEventHandlers): void {
    this.handlers = handlers;
  }

  get hasCrashAnnouncements(): boolean {
    return this.handlers?.crashes.hasAnnouncements ?? false;
  }

  takeCrashAnnouncements(): SuspectAnnouncements {
    return this.handlers?.crashes.takeAnnouncements() ?? NO_SUSPECT_ANNOUNCEMENTS;
  }

  onCrashAnnouncements(announcements: SuspectAnnouncements, isRelayed: boolean): boolean {
    return this.handlers?.crashes.receive(announcements, isRelayed) ?? false;
  }

  limitAnnouncements(): readonly EngineLimitAnnouncement[] {
    return this.handlers?.limitDiscovery.announcements ?? [];
  }

  onLimitAnnouncement(announcement: EngineLimitAnnouncement): void {
    this.handlers?.limitDiscovery.receive(announcement);
  }

  forwardingAddress(): string {
    return this.handlers?.forwarding.offeredAddress ?? '';
  }

  onForwardingAddress(sender: string, address: string): void {
    this.handlers?.forwarding.receiveOffer(sender, address);
  }

  brittleEngineAnnouncements(): readonly BrittleEngineAnnouncement[] {
    return this.handlers?.brittleness.announcements ?? [];
  }

  onBrittleEngineAnnouncement(announcement: BrittleEngineAnnouncement): boolean {
    return this.handlers?.brittleness.receive(announcement) ?? false;
  }

  weightLoadAnnouncements(): readonly WeightLoadAnnouncement[] {
    return this.handlers?.coordinator.loadAnnouncements ?? [];
  }

  onWeightLoadAnnouncement(announcement: WeightLoadAnnouncement): void {
    this.handlers?.coordinator.receiveAnnouncement(announcement);
  }

  heldLease(): StorePosition | undefined {
    return this.handlers?.coordinator.heldLease;
  }

  onHeldLease(holder: string, position: StorePosition): void {
    this.handlers?.coordinator.receiveLease(holder, position);
  }

  versionAnnouncements(): readonly WeightVersionAnnouncement[] {
    return this.handlers?.versionDiscovery.versionAnnouncements ?? [];
  }

  onVersionAnnouncement(announcement: WeightVersionAnnouncement): void {
    this.handlers?.versionDiscovery.receive(announcement);
  }
}
