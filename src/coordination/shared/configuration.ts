/** The active configuration and machine list of a node, read from the replicated documents. */
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

/** Name of the document that contains models, services, templates and tenants. */
export const TEMPLATES_DOCUMENT = 'templates';

/** Name of the document that contains the machine list. */
export const MACHINES_DOCUMENT = 'machines';

/** A model and the version of it that a tenant may use. */
export interface AllowedModel {
  readonly model: string;
  readonly version: ModelVersion;
}

/** Configuration read from a node's copies of the replicated documents. */
export class Configuration {
  private templateSet: TemplateSet | undefined;
  private currentRevision = 0n;
  private machineList: Machine[] = [];
  private machineRevision = 0n;
  private readonly tenantsByKeyHash = new Map<string, string>();
  private readonly parametersByTenant = new Map<string, TenantParameters>();

  constructor(private readonly logger: Logger) {}

  /** True once a configuration was loaded. */
  get isReady(): boolean {
    return this.templateSet !== undefined;
  }

  /** Revision of the active templates; 0 if there are none. */
  get revision(): bigint {
    return this.currentRevision;
  }

  /** Whether a machine list was received. */
  get hasMachineList(): boolean {
    return this.machineRevision > 0n;
  }

  get machines(): readonly Machine[] {
    return this.machineList;
  }

  /** Loads a changed templates document. If it is invalid, the previous one stays active. */
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
    this.templateSet = verdict.set;
    this.currentRevision = document.revision;
    this.parametersByTenant.clear();
    this.indexKeys(verdict.set);
    this.logger.info('configuration_in_force', { revision: String(document.revision) });
    return true;
  }

  /** Loads a changed machine list. */
  loadMachines(document: ReplicatedDocument): void {
    const contents = [...document.contents().values()];
    this.machineList = contents.map((content) => JSON.parse(content) as Machine);
    this.machineRevision = document.revision;
  }

  /** Returns the tenant of an API key. */
  tenantOfKey(key: string): string | undefined {
    return this.tenantsByKeyHash.get(hashKey(key));
  }

  /** Returns the resolved parameters of a tenant. */
  parametersOf(tenant: string): TenantParameters | undefined {
    const cached = this.parametersByTenant.get(tenant);
    if (cached || !this.templateSet) return cached;
    const parameters = resolveParameters(this.templateSet, tenant);
    if (parameters) this.parametersByTenant.set(tenant, parameters);
    return parameters;
  }

  /** Returns the version of a model that a tenant may use, or undefined if it may use none. */
  allowedModel(tenant: string, model: string): AllowedModel | undefined {
    const versionName = this.parametersOf(tenant)?.models[model];
    const version =
      versionName === undefined
        ? undefined
        : this.templateSet?.models[model]?.versions[versionName];
    return version && { model, version };
  }

  /** Whether a model of this name is configured. */
  hasModel(model: string): boolean {
    return this.templateSet?.models[model] !== undefined;
  }

  /** Returns the policy of an operation, or undefined if the tenant may not call it. */
  operation(tenant: string, service: string, operation: string): OperationPolicy | undefined {
    if (!this.parametersOf(tenant)?.services.includes(service)) return undefined;
    return this.templateSet?.services[service]?.operations[operation];
  }

  private indexKeys(set: TemplateSet): void {
    this.tenantsByKeyHash.clear();
    for (const [tenant, entry] of Object.entries(set.tenants)) {
      for (const key of entry.keys) this.tenantsByKeyHash.set(key.sha256, tenant);
    }
  }
}

/** Returns the hash by which an API key is stored. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex');
}
