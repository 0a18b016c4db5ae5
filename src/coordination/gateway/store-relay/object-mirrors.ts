/** The mirrors of all object kinds that a router follows. */
import { ObjectMirror } from './object-mirror.js';

/** Mirrors by kind. */
export class ObjectMirrors {
  private readonly mirrors = new Map<string, ObjectMirror>();
  /** For kinds that this router does not follow; it is never filled. */
  private readonly unfollowed = new ObjectMirror();

  /** The mirror of a kind that this router follows, created on first use. */
  of(kind: string): ObjectMirror {
    let mirror = this.mirrors.get(kind);
    if (!mirror) {
      mirror = new ObjectMirror();
      this.mirrors.set(kind, mirror);
    }
    return mirror;
  }

  /** The mirror of a kind that another router names, which this one may not follow. */
  find(kind: string): ObjectMirror {
    return this.mirrors.get(kind) ?? this.unfollowed;
  }
}
