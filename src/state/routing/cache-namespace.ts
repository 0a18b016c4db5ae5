/**
 * Namespaces of cached prefixes: what lies under one was made, and is used, by tenants that may share it.
 * An isolated tenant has a namespace of its own. All others share one that names the set of isolated
 * tenants in force, so that what a tenant made while it shared is out of reach while it is isolated,
 * whatever the order of changes. No router has to know an earlier configuration for that.
 */
import { createHash } from 'node:crypto';
import type { Tenant } from './configuration.js';

/** Appended to the model and the version of its weights in a cache salt; empty without isolated tenants. */
export type CacheNamespace = string;

/** Text that a header holds as it is, without blanks at its ends. */
const VISIBLE_ASCII = /^[\x21-\x7e]+$/;
/** Length of the truncated hash; long enough that no two sets share one. */
const DIGEST_DIGITS = 32;

/** The namespaces of one configuration; computed once for it. */
export class CacheNamespaces {
  /** Namespace of all tenants that are not isolated. */
  readonly shared: CacheNamespace;

  constructor(tenants: readonly Pick<Tenant, 'name' | 'isIsolated'>[]) {
    const isolated = tenants.filter(({ isIsolated }) => isIsolated).map(({ name }) => name);
    this.shared = sharedNamespace(isolated);
  }

  /** @param tenant undefined if the caller needs no key */
  of(tenant: Pick<Tenant, 'name' | 'isIsolated'> | undefined): CacheNamespace {
    return tenant?.isIsolated ? isolatedNamespace(tenant.name) : this.shared;
  }
}

/** Differs for any two names, also at engines that see headers as bytes and without outer blanks. */
function isolatedNamespace(name: string): CacheNamespace {
  if (VISIBLE_ASCII.test(name)) return `/${name}`;
  return `~${Buffer.from(name, 'utf16le').toString('hex')}`;
}

/** Differs for any two sets of names; the one without isolated tenants is that of all builds. */
function sharedNamespace(isolated: readonly string[]): CacheNamespace {
  if (isolated.length === 0) return '';
  const names = JSON.stringify([...new Set(isolated)].sort());
  const digest = createHash('sha256').update(names).digest('hex');
  return `+${digest.slice(0, DIGEST_DIGITS)}`;
}
