/** The configuration in force at a node, and its machine list, read from the replicated documents. */
import { createHash } from 'node:crypto';
import type { Logger } from '../../runtime/logger.js';
import type { Machine } from '../../protocol/machine-list/port.js';
import type { ReplicatedDocument } from '../../state/replicated-document.js';
import { joinTemplateSet } from '../../state/template-sections.js';
import {
  type ModelVersion,
  type OperationPolicy,
  type TemplateSet,
  type TenantParameters,
  checkTemplateSet,
  resolveParameters,
} from '../../state/template-set.js';

/** Name of the document with models, services, templates and tenants. */
export const TEMPLATES_DOCUMENT = 'templates';

/** Name of the document with the machine list. */
export const MACHINES_DOCUMENT = 'machines';

/** A model as a tenant may use it now. */
export interface AllowedModel {
  readonly model: string;
  readonly version: ModelVersion;
}

/** What a node reads from its copies of the documents. */
export class Configuration {
  private set: TemplateSet | undefined;
  private revisionInForce = 0n;
  private machineList: Machine[] = [];
  private machineRevision = 0n;
  private readonly tenantsByKeyHash = new Map<string, string>();
  private readonly resolved = new Map<string, TenantParameters>();

  constructor(private readonly logger: Logger) {}

  /** True once some configuration is in force. */
  get isReady(): boolean {
    return this.set !== undefined;
  }

  /** Revision of the templates in force; 0 for none. */
  get revision(): bigint {
    return this.revisionInForce;
  }

  /** Whether a machine list was ever received. */
  get hasMachines(): boolean {
    return this.machineRevision > 0n;
  }

  get machines(): readonly Machine[] {
    return this.machineList;
  }

  /** Takes over a changed templates document; an invalid one leaves the last good one in force. */
  loadTemplates(document: ReplicatedDocument): boolean {
    const verdict = checkTemplateSet(joinTemplateSet(document.contents()));
    if (verdict.kind === 'invalid') {
      const [problem] = verdict.problems;
      this.logger.error('configuration_rejected', {
        revision: String(document.revision),
        path: problem?.path,
        reason: problem?.message,
      });
      return false;
    }
    this.set = verdict.set;
    this.revisionInForce = document.revision;
    this.resolved.clear();
    this.indexKeys(verdict.set);
    this.logger.info('configuration_in_force', { revision: String(document.revision) });
    return true;
  }

  /** Takes over a changed machine list. */
  loadMachines(document: ReplicatedDocument): void {
    const contents = [...document.contents().values()];
    this.machineList = contents.map((content) => JSON.parse(content) as Machine);
    this.machineRevision = document.revision;
  }

  /** The tenant a caller's key belongs to. */
  tenantOfKey(key: string): string | undefined {
    return this.tenantsByKeyHash.get(hashKey(key));
  }

  /** Parameters in force for a tenant. */
  parametersOf(tenant: string): TenantParameters | undefined {
    const present = this.resolved.get(tenant);
    if (present || !this.set) return present;
    const parameters = resolveParameters(this.set, tenant);
    if (parameters) this.resolved.set(tenant, parameters);
    return parameters;
  }

  /** The version of a model that a tenant may use; undefined where it may not. */
  allowedModel(tenant: string, model: string): AllowedModel | undefined {
    const versionName = this.parametersOf(tenant)?.models[model];
    const version =
      versionName === undefined ? undefined : this.set?.models[model]?.versions[versionName];
    return version && { model, version };
  }

  /** Whether any tenant could use a model of that name. */
  knowsModel(model: string): boolean {
    return this.set?.models[model] !== undefined;
  }

  /** Policy of an operation that the tenant may call. */
  operation(tenant: string, service: string, operation: string): OperationPolicy | undefined {
    if (!this.parametersOf(tenant)?.services.includes(service)) return undefined;
    return this.set?.services[service]?.operations[operation];
  }

  private indexKeys(set: TemplateSet): void {
    this.tenantsByKeyHash.clear();
    for (const [tenant, entry] of Object.entries(set.tenants)) {
      for (const key of entry.keys) this.tenantsByKeyHash.set(key.sha256, tenant);
    }
  }
}

/** Hash under which a caller's key is kept. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex');
}
