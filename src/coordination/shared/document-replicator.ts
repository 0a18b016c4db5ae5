/** Replicates documents over peer channels by digests of revisions, pulls and deltas. */
import { create } from '@bufbuild/protobuf';
import {
  type DocumentDelta as WireDelta,
  DocumentDeltaSchema,
  type DocumentDigest,
  DocumentDigestSchema,
  DocumentPullSchema,
  type DocumentRevision,
  DocumentRevisionSchema,
  DocumentSectionSchema,
} from '../../protocol/peer/generated/peer_pb.js';
import type { PeerBody, PeerChannel } from '../../protocol/peer/peer-channel.js';
import { type DocumentDelta, ReplicatedDocument } from '../../state/replicated-document.js';

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** A node's copies of all replicated documents. */
export class DocumentReplicator {
  private readonly documents = new Map<string, ReplicatedDocument>();
  private readonly listeners: ((name: string, document: ReplicatedDocument) => void)[] = [];

  constructor(names: readonly string[], acceptsOlder = false) {
    for (const name of names) this.documents.set(name, new ReplicatedDocument(acceptsOlder));
  }

  /** Registers a listener that is called after each applied delta. */
  onChange(listener: (name: string, document: ReplicatedDocument) => void): void {
    this.listeners.push(listener);
  }

  document(name: string): ReplicatedDocument {
    const document = this.documents.get(name);
    if (!document) throw new Error(`no document named ${name}`);
    return document;
  }

  /** Revisions of the local copies. */
  revisions(): DocumentRevision[] {
    return [...this.documents].map(([document, copy]) =>
      create(DocumentRevisionSchema, { document, revision: copy.revision }),
    );
  }

  /** Revisions of the local copies, as a message. */
  digest(): DocumentDigest {
    return create(DocumentDigestSchema, { revisions: this.revisions() });
  }

  /** Sends the revisions of the local copies to a peer. */
  sendDigest(channel: PeerChannel): void {
    channel.send({ case: 'documentDigest', value: this.digest() });
  }

  /** Whether a peer has a newer revision of any document. */
  isBehind(revisions: readonly DocumentRevision[]): boolean {
    return revisions.some(({ document, revision }) => {
      const copy = this.documents.get(document);
      return copy !== undefined && revision > copy.revision;
    });
  }

  /** Handles the three document messages; returns false for any other message. */
  handle(channel: PeerChannel, body: PeerBody): boolean {
    switch (body.case) {
      case 'documentDigest':
        this.handleDigest(channel, body.value.revisions);
        return true;
      case 'documentPull':
        this.sendDelta(channel, body.value.document, body.value.haveRevision);
        return true;
      case 'documentDelta':
        this.receiveDelta(channel, body.value);
        return true;
      default:
        return false;
    }
  }

  /** Applies a delta that was read from the source of a document or received from a peer. */
  apply(name: string, delta: DocumentDelta): boolean {
    const document = this.document(name);
    if (document.applyDelta(delta) !== 'applied') return false;
    for (const listener of this.listeners) listener(name, document);
    return true;
  }

  private handleDigest(channel: PeerChannel, revisions: readonly DocumentRevision[]): void {
    for (const { document, revision } of revisions) {
      const copy = this.documents.get(document);
      if (!copy) continue;
      if (revision > copy.revision) this.sendPull(channel, document, copy.revision);
      else if (revision < copy.revision) this.sendDelta(channel, document, revision);
    }
  }

  private sendPull(channel: PeerChannel, document: string, haveRevision: bigint): void {
    const value = create(DocumentPullSchema, { document, haveRevision });
    channel.send({ case: 'documentPull', value });
  }

  private sendDelta(channel: PeerChannel, name: string, since: bigint): void {
    const copy = this.documents.get(name);
    if (!copy || copy.revision <= since) return;
    const delta = copy.deltaSince(since);
    const sections = delta.sections.map((section) =>
      create(DocumentSectionSchema, {
        name: section.name,
        changedAt: section.changedAt,
        removed: section.removed,
        content: encoder.encode(section.content),
      }),
    );
    const { baseRevision, revision } = delta;
    const value = create(DocumentDeltaSchema, {
      document: name,
      baseRevision,
      revision,
      sections,
    });
    channel.send({ case: 'documentDelta', value });
  }

  private receiveDelta(channel: PeerChannel, wire: WireDelta): void {
    const copy = this.documents.get(wire.document);
    if (!copy) return;
    if (wire.baseRevision > copy.revision) {
      this.sendPull(channel, wire.document, copy.revision);
      return;
    }
    const sections = wire.sections.map((section) => ({
      name: section.name,
      changedAt: section.changedAt,
      removed: section.removed,
      content: decoder.decode(section.content),
    }));
    const { baseRevision, revision } = wire;
    this.apply(wire.document, { baseRevision, revision, sections });
  }
}
