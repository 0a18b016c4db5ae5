/**
 * A document that every node keeps a copy of, spread by digest and pull.
 *
 * It is a set of named sections. Each remembers a revision at or after its last change, so the
 * difference between any older revision and the present one is the sections changed since. A copy
 * never takes a revision at or below its own.
 */

/** A section of a document. Removed sections stay as markers, so that a delta can carry them. */
export interface DocumentSection {
  readonly name: string;
  /** A revision not before the section's last change. */
  readonly changedAt: bigint;
  readonly removed: boolean;
  /** The section's JSON text; empty where removed. */
  readonly content: string;
}

/** The sections changed after `baseRevision`. */
export interface DocumentDelta {
  readonly baseRevision: bigint;
  readonly revision: bigint;
  readonly sections: readonly DocumentSection[];
}

/** Why a delta was not taken. */
export type DeltaVerdict = 'applied' | 'not-newer' | 'gap';

/** One node's copy. */
export class ReplicatedDocument {
  private currentRevision = 0n;
  private readonly sections = new Map<string, DocumentSection>();

  /** `acceptsOlder` is for mutation tests only: it lets a copy fall back. */
  constructor(private readonly acceptsOlder = false) {}

  /** Revision of the copy; 0 before the first. */
  get revision(): bigint {
    return this.currentRevision;
  }

  /** Names and contents of the sections that are not removed. */
  contents(): Map<string, string> {
    const live = new Map<string, string>();
    for (const section of this.sections.values()) {
      if (!section.removed) live.set(section.name, section.content);
    }
    return live;
  }

  /** What a copy at `revision` lacks. */
  deltaSince(revision: bigint): DocumentDelta {
    const changed = [...this.sections.values()].filter((section) => section.changedAt > revision);
    return { baseRevision: revision, revision: this.currentRevision, sections: changed };
  }

  /** Takes a delta from a peer. A gap means that this copy is older than the delta's base. */
  applyDelta(delta: DocumentDelta): DeltaVerdict {
    if (delta.revision === this.currentRevision) return 'not-newer';
    if (delta.revision < this.currentRevision && !this.acceptsOlder) return 'not-newer';
    if (delta.baseRevision > this.currentRevision) return 'gap';
    for (const section of delta.sections) this.sections.set(section.name, section);
    this.currentRevision = delta.revision;
    return 'applied';
  }

  /**
   * The delta that turns this copy into the whole new contents, for a reader of the source.
   * Sections equal to the present ones keep their revision.
   */
  deltaTo(revision: bigint, contents: ReadonlyMap<string, string>): DocumentDelta {
    const sections: DocumentSection[] = [];
    for (const [name, content] of contents) {
      const present = this.sections.get(name);
      if (present && !present.removed && present.content === content) continue;
      sections.push({ name, changedAt: revision, removed: false, content });
    }
    for (const present of this.sections.values()) {
      if (present.removed || contents.has(present.name)) continue;
      sections.push({ name: present.name, changedAt: revision, removed: true, content: '' });
    }
    return { baseRevision: this.currentRevision, revision, sections };
  }
}
