/**
 * A document that is replicated to every node: nodes announce revisions and pull deltas.
 *
 * The document is a set of named sections. Each has a revision at or after its last change, so that
 * a delta from any older revision consists of the sections changed since. A copy never applies a
 * delta to a revision at or below its own.
 */

/** A section of a document. Removed sections remain as tombstones, which deltas include. */
export interface DocumentSection {
  readonly name: string;
  /** A revision at or after the section's last change. */
  readonly changedAt: bigint;
  readonly removed: boolean;
  /** The section's JSON text; empty if removed. */
  readonly content: string;
}

/** The sections changed after `baseRevision`. */
export interface DocumentDelta {
  readonly baseRevision: bigint;
  readonly revision: bigint;
  readonly sections: readonly DocumentSection[];
}

/** Result of applying a delta. */
export type DeltaVerdict = 'applied' | 'not-newer' | 'gap';

/** One node's copy of a document. */
export class ReplicatedDocument {
  private currentRevision = 0n;
  private readonly sections = new Map<string, DocumentSection>();

  /** @param acceptsOlder allows older revisions; for mutation tests only */
  constructor(private readonly acceptsOlder = false) {}

  /** Revision of the copy; 0 before the first delta. */
  get revision(): bigint {
    return this.currentRevision;
  }

  /** Names and contents of the sections that are not removed. */
  contents(): Map<string, string> {
    const contents = new Map<string, string>();
    for (const section of this.sections.values()) {
      if (!section.removed) contents.set(section.name, section.content);
    }
    return contents;
  }

  /** The delta for a copy at `revision`. */
  deltaSince(revision: bigint): DocumentDelta {
    const changed = [...this.sections.values()].filter((section) => section.changedAt > revision);
    return { baseRevision: revision, revision: this.currentRevision, sections: changed };
  }

  /** Applies a delta from a peer. Returns `gap` if this copy is older than the delta's base. */
  applyDelta(delta: DocumentDelta): DeltaVerdict {
    if (delta.revision === this.currentRevision) return 'not-newer';
    if (delta.revision < this.currentRevision && !this.acceptsOlder) return 'not-newer';
    if (delta.baseRevision > this.currentRevision) return 'gap';
    for (const section of delta.sections) this.sections.set(section.name, section);
    this.currentRevision = delta.revision;
    return 'applied';
  }

  /**
   * The delta from this copy to the complete contents read from the source. Unchanged sections keep
   * their revision.
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
