/** Reading services and what is in force for them. */
import * as z from 'zod';
import { nameSchema, type ServiceDefinition } from '../model/service-definition.js';
import type { ConfigurationState } from '../settings/configuration-state.js';
import { explainSettings } from '../settings/explain.js';
import { lookUp } from '../settings/look-up.js';
import { AdministrationError } from './administration-error.js';
import {
  effectiveReportSchema,
  serviceListSchema,
  serviceReportSchema,
  type EffectiveReport,
  type ServiceList,
} from './response-schemas.js';
import { defineRoute, type Route } from './route.js';

function findService(configuration: ConfigurationState, name: string): ServiceDefinition {
  const service = lookUp(configuration.services, name);
  if (service !== undefined) return service;
  throw new AdministrationError('not_found', 'find service', `there is no service ${name}`);
}

function summarise({ name, kind, region, layouts }: ServiceDefinition): ServiceList['services'][0] {
  const sizes = layouts.map(({ layoutEpoch, shards }) => ({
    layoutEpoch,
    shards: shards.length,
    replicas: shards.reduce((sum, shard) => sum + shard.replicas.length, 0),
  }));
  return { name, kind, region, layouts: sizes };
}

function explain(configuration: ConfigurationState, name: string, zone: string): EffectiveReport {
  findService(configuration, name);
  const zones = Object.values(configuration.regions).flatMap((region) => region.zones);
  if (!zones.includes(zone)) {
    throw new AdministrationError('not_found', 'find zone', `there is no zone ${zone}`);
  }
  const settings = explainSettings(configuration, name, zone).map((setting) => ({
    ...setting,
    hidden: [...setting.hidden],
  }));
  return { revision: configuration.revision, service: name, zone, settings };
}

export const SERVICE_ROUTES: readonly Route[] = [
  defineRoute({
    method: 'GET',
    path: '/v1/services',
    operationId: 'listServices',
    summary: 'Every service with the sizes of its layouts.',
    access: 'any_token',
    response: serviceListSchema,
    errors: [],
    handle: async ({ context }) => {
      const { revision, services } = await context.readConfiguration();
      return { revision, services: Object.values(services).map(summarise) };
    },
  }),
  defineRoute({
    method: 'GET',
    path: '/v1/services/{service}',
    operationId: 'getService',
    summary: 'One service with its layouts, shards and replicas.',
    access: 'any_token',
    response: serviceReportSchema,
    errors: ['not_found'],
    handle: async ({ context, parameters }) => {
      const configuration = await context.readConfiguration();
      const service = findService(configuration, parameters['service'] ?? '');
      return { revision: configuration.revision, service };
    },
  }),
  defineRoute({
    method: 'GET',
    path: '/v1/services/{service}/effective',
    operationId: 'explainService',
    summary: 'Each setting in force for a service in a zone and the level it came from.',
    access: 'any_token',
    query: z.strictObject({ zone: nameSchema }),
    response: effectiveReportSchema,
    errors: ['not_found'],
    handle: async ({ context, parameters, query }) =>
      explain(await context.readConfiguration(), parameters['service'] ?? '', query.zone),
  }),
];
