/**
 * A store on a socket that serves each spec as the JSON text that was written, so that texts can be
 * served that no program of this language would write: nested more deeply, or with larger numbers.
 */
import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';

/** Limits of a page of a list. */
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;

interface RawObject {
  readonly name: string;
  readonly revision: number;
  /** JSON text of the whole object. */
  readonly item: string;
}

interface RawChange extends RawObject {
  readonly kind: string;
  readonly isGone: boolean;
}

/** The calls of all routers since the last reset. */
export interface StoreCalls {
  lists: number;
  watches: number;
  /** Bytes of all responses. */
  bytes: number;
}

/** A store without expiry. */
export class RawStore {
  readonly calls: StoreCalls = { lists: 0, watches: 0, bytes: 0 };
  private revision = 20;
  private readonly kinds = new Map<string, Map<string, RawObject>>();
  /** Changes of each kind in their order. */
  private readonly history = new Map<string, RawChange[]>();
  /** Watches of each kind that wait for a change. */
  private readonly waiting = new Map<string, Set<() => void>>();
  private readonly server: Server;

  private constructor() {
    this.server = createServer((request, response) => void this.respond(request, response));
    // A test lasts longer than the default, and routers keep their connections.
    this.server.keepAliveTimeout = 0;
  }

  static async start(): Promise<RawStore> {
    const store = new RawStore();
    await new Promise<void>((resolve) => store.server.listen(0, '127.0.0.1', resolve));
    return store;
  }

  /** HOST:PORT. */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  resetCalls(): void {
    Object.assign(this.calls, { lists: 0, watches: 0, bytes: 0 });
  }

  names(kind: string): string[] {
    return [...this.objectsOf(kind).keys()];
  }

  /**
   * @param specText JSON text of the spec
   * @param revisionText JSON text of the revision that the object states; its own by default
   */
  put(kind: string, name: string, specText: string, revisionText?: string): void {
    this.revision += 1;
    const revision = revisionText ?? String(this.revision);
    const metadata = `{"name":${JSON.stringify(name)},"revision":${revision},"finalizers":[]}`;
    const item = `{"metadata":${metadata},"spec":${specText},"status":null}`;
    const object = { name, revision: this.revision, item };
    this.objectsOf(kind).set(name, object);
    this.record({ ...object, kind, isGone: false });
  }

  remove(kind: string, name: string): void {
    const present = this.objectsOf(kind).get(name);
    if (!present) return;
    this.objectsOf(kind).delete(name);
    this.revision += 1;
    this.record({ ...present, revision: this.revision, kind, isGone: true });
  }

  private objectsOf(kind: string): Map<string, RawObject> {
    let objects = this.kinds.get(kind);
    if (!objects) {
      objects = new Map();
      this.kinds.set(kind, objects);
    }
    return objects;
  }

  private record(change: RawChange): void {
    const changes = this.history.get(change.kind);
    if (changes) changes.push(change);
    else this.history.set(change.kind, [change]);
    for (const finish of [...this.waitingFor(change.kind)]) finish();
  }

  private async respond(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    const [, , kind = '', name] = url.pathname.split('/').map(decodeURIComponent);
    const body = await text(request);
    if (request.method === 'GET') this.read(url, kind, name, response);
    else if (request.method === 'DELETE') this.removeFor(kind, name, response);
    else this.write(request.method ?? '', kind, body, response);
  }

  private read(url: URL, kind: string, name: string | undefined, response: ServerResponse): void {
    if (name !== undefined) {
      const object = this.objectsOf(kind).get(name);
      this.send(response, object ? 200 : 404, object?.item ?? '{}');
    } else if (url.searchParams.has('watch')) this.watch(url, kind, response);
    else this.list(url.searchParams.get('after') ?? '', kind, response);
  }

  private list(after: string, kind: string, response: ServerResponse): void {
    this.calls.lists += 1;
    const names = this.names(kind).sort();
    const items: string[] = [];
    let bytes = 0;
    for (const name of names.filter((each) => each > after)) {
      const { item } = this.objectsOf(kind).get(name) as RawObject;
      if (items.length > 0 && (items.length >= PAGE_ITEMS || bytes + item.length > PAGE_BYTES)) {
        this.send(response, 200, this.page(items, true));
        return;
      }
      items.push(item);
      bytes += item.length;
    }
    this.send(response, 200, this.page(items, false));
  }

  private page(items: readonly string[], more: boolean): string {
    return `{"items":[${items.join(',')}],"more":${more},"at":${this.revision}}`;
  }

  private watch(url: URL, kind: string, response: ServerResponse): void {
    this.calls.watches += 1;
    const since = Number(url.searchParams.get('watch'));
    const finish = (): void => {
      waiting.delete(finish);
      clearTimeout(timer);
      const events = this.changesAfter(kind, since).map(
        ({ item, isGone }) => `{"object":${item},"gone":${isGone}}`,
      );
      this.send(response, 200, `{"events":[${events.join(',')}],"at":${this.revision}}`);
    };
    const waiting = this.waitingFor(kind);
    const timer = setTimeout(finish, Number(url.searchParams.get('wait_ms') ?? 0));
    waiting.add(finish);
    response.once('close', () => {
      waiting.delete(finish);
      clearTimeout(timer);
    });
    if (this.changesAfter(kind, since).length > 0) finish();
  }

  private waitingFor(kind: string): Set<() => void> {
    let waiting = this.waiting.get(kind);
    if (!waiting) {
      waiting = new Set();
      this.waiting.set(kind, waiting);
    }
    return waiting;
  }

  private changesAfter(kind: string, since: number): RawChange[] {
    const changes = this.history.get(kind) ?? [];
    const first = changes.findLastIndex(({ revision }) => revision <= since) + 1;
    return changes.slice(first);
  }

  private write(method: string, kind: string, body: string, response: ServerResponse): void {
    const { metadata, spec } = JSON.parse(body) as {
      metadata: { name: string; revision?: number };
      spec: unknown;
    };
    const present = this.objectsOf(kind).get(metadata.name);
    const isExpected =
      method === 'POST'
        ? !present
        : metadata.revision === undefined || metadata.revision === present?.revision;
    if (isExpected) this.put(kind, metadata.name, JSON.stringify(spec));
    const object = this.objectsOf(kind).get(metadata.name);
    this.send(response, isExpected ? 200 : 409, object?.item ?? '{}');
  }

  private removeFor(kind: string, name: string | undefined, response: ServerResponse): void {
    if (name !== undefined) this.remove(kind, name);
    this.send(response, 200, '{}');
  }

  private send(response: ServerResponse, status: number, body: string): void {
    this.calls.bytes += body.length;
    response.writeHead(status, { 'content-type': 'application/json', 'Store-Era': '1' });
    response.end(body);
  }
}
