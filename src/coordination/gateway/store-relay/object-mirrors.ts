/** The mirrors of all object kinds that a router follows. */
import { ObjectMirror } from './object-mirror.js';

/** Mirrors by kind, created on first use. */
export class ObjectMirrors {
  private readonly mirrors = new Map<string, ObjectMirror>();

  of(kind: string): ObjectMirror {
    let mirror = this.mirrors.get(kind);
    if (!mirror) {
      mirror = new ObjectMirror();
      this.mirrors.set(kind, mirror);
    }
    return mirror;
  }
}
