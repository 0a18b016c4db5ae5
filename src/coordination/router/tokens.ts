/** Injection tokens of a router. */
export const ROUTER_SETTINGS = Symbol('RouterSettings');
export const PROTECTIONS = Symbol('Protections');
export const ENGINE_PORT = Symbol('EnginePort');
export const BACKEND_PORT = Symbol('PlainBackendPort');
export const OBJECT_API_PORT = Symbol('ObjectApiPort');
export const MACHINE_LIST_PORT = Symbol('MachineListPort');
