/**
 * What the record of builds says, how it is stored, and how it follows the history of a router. A build
 * is taken out in two steps: it is marked as leaving first, and taken out by a later write. Pure.
 */
import { z } from 'zod';
import { StoreEra } from '../../runtime/store-position.js';
import type { BuildHistory, ServiceBuilds } from '../../state/routing/build-history.js';

/** What the record says of builds. */
export interface RecordContents {
  readonly builds: ServiceBuilds;
  /** Those of them that are marked as leaving. */
  readonly leaving: ServiceBuilds;
}

/** The result of reading a stored record. */
export type ParsedRecord =
  | { readonly kind: 'record'; readonly contents: RecordContents; readonly era: number }
  | { readonly kind: 'malformed'; readonly reason: string };

const servicesSchema = z.array(z.object({ name: z.string(), builds: z.array(z.string()) }));

const recordSchema = z.object({
  services: servicesSchema,
  /** Builds in `services` that are marked as leaving; routers of earlier versions leave it out. */
  leaving: servicesSchema.optional(),
  /** Store era in which the record was written; routers of earlier versions leave it out. */
  era: z.number().optional(),
});

/** Parses the stored record. */
export function parseRecord(spec: unknown): ParsedRecord {
  const parsed = recordSchema.safeParse(spec);
  if (!parsed.success)
    return { kind: 'malformed', reason: parsed.error.issues[0]?.message ?? 'unreadable' };
  const { services, leaving = [], era = StoreEra.None } = parsed.data;
  const contents = { builds: serviceBuildsOf(services), leaving: serviceBuildsOf(leaving) };
  return { kind: 'record', contents, era };
}

/** The record as it is stored. */
export function specOf({ builds, leaving }: RecordContents, era: number): unknown {
  const marks = leaving.size > 0 ? { leaving: servicesOf(leaving) } : {};
  return { services: servicesOf(builds), ...marks, era };
}

/** Log fields with the builds; the same for the same builds. */
export function textsOf({ builds, leaving }: RecordContents): { builds: string; leaving: string } {
  return { builds: textOf(builds), leaving: textOf(leaving) };
}

/** Whether the service has the build there. */
export function isListed(builds: ServiceBuilds, service: string, build: string): boolean {
  return builds.get(service)?.includes(build) ?? false;
}

/**
 * The contents that follow: the builds of engines without a mark, and the other recorded builds until
 * they may be taken out, with a mark once they are forgotten. A build that is only remembered is not
 * added: another router may have taken it out already.
 *
 * @param recorded undefined if the record proves nothing
 * @param mayTakeOut whether forgotten builds with a mark are taken out
 */
export function nextContents(
  recorded: RecordContents | undefined,
  history: Pick<BuildHistory, 'builds' | 'engines'>,
  mayTakeOut: boolean,
): RecordContents {
  const remembered = history.builds;
  if (!recorded) return { builds: remembered, leaving: new Map() };
  const builds = new Map<string, readonly string[]>();
  const leaving = new Map<string, readonly string[]>();
  for (const service of new Set([...recorded.builds.keys(), ...remembered.keys()])) {
    const used = history.engines.flatMap((engine) =>
      engine.service === service && engine.build !== undefined ? [engine.build] : [],
    );
    const isForgotten = (build: string): boolean => !isListed(remembered, service, build);
    const isMarked = (build: string): boolean => isListed(recorded.leaving, service, build);
    const unused = (recorded.builds.get(service) ?? []).filter((build) => !used.includes(build));
    const kept = unused.filter((build) => !(mayTakeOut && isForgotten(build) && isMarked(build)));
    const marked = kept.filter((build) => isForgotten(build) || isMarked(build));
    const names = [...new Set([...used, ...kept])].sort();
    if (names.length > 0) builds.set(service, names);
    if (marked.length > 0) leaving.set(service, marked);
  }
  return { builds, leaving };
}

/** Whether a forgotten build of the record has still to be marked or taken out. */
export function isOutdated(
  recorded: RecordContents,
  history: Pick<BuildHistory, 'builds'>,
  mayTakeOut: boolean,
): boolean {
  const remembered = history.builds;
  return [...recorded.builds].some(([service, names]) =>
    names.some(
      (build) =>
        !isListed(remembered, service, build) &&
        (mayTakeOut || !isListed(recorded.leaving, service, build)),
    ),
  );
}

function serviceBuildsOf(services: z.infer<typeof servicesSchema>): ServiceBuilds {
  return new Map(services.map(({ name, builds }) => [name, [...builds].sort()]));
}

function servicesOf(builds: ServiceBuilds): z.infer<typeof servicesSchema> {
  return [...builds].map(([name, names]) => ({ name, builds: [...names] }));
}

function textOf(builds: ServiceBuilds): string {
  return [...builds]
    .map(([service, names]) => `${service}:${names.join(',')}`)
    .sort()
    .join(' ');
}
