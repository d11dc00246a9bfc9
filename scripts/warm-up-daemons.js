/**
 * Runs a small fleet of the bundle's daemons for a moment, so that the functions
 * that a start and the first requests run are compiled when the compiled code is
 * written. Three controllers, two gateways, stand-in replicas and a caller, all in
 * this process and on loopback.
 */
import { Buffer } from 'node:buffer';
import { createServer, request as sendRequest, Agent } from 'node:http';
import { mkdtemp, rm } from 'node:fs/promises';
import { join } from 'node:path';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

/** One sends to all shards by itself, the other divides them among both. */
const GATEWAYS = [
  { name: 'gateway-1', aggregation: {} },
  { name: 'gateway-2', aggregation: { divideAbove: 3, shardsPerGroup: 2 } },
];
/** In which the gateways are told of each other and connect. */
const CONNECT_MS = 1_200;
/** Where the controllers' folders are made and removed again. */
const FOLDER = 'target';
const HOST = '127.0.0.1';
const CONTROLLERS = 3;
const SHARDS = ['shard-0', 'shard-1', 'shard-2', 'shard-3', 'shard-4', 'shard-5'];
const REPLICAS_PER_SHARD = 2;
const RECORDS = Buffer.alloc(960, 'record');
const ROUTE_HOST = 'warm-up.example';
/** Rounds of one request of each route, and their pause. */
const ROUNDS = 30;
const ROUND_PAUSE_MS = 20;
/** In every so many answers a replica is slow, so that a second one is asked. Milliseconds. */
const SLOW_EVERY = 9;
const SLOW_MS = 120;
const QUICK_MS = 2;
const HEARTBEAT_MS = 300;
const SETTLE_MS = 50;
/** Tries at putting the routes in force, until a leader is known. */
const ROUTE_TRIES = 100;

const pause = (milliseconds) => new Promise((resolve) => setTimeout(resolve, milliseconds));

/** Ports that were free a moment ago. */
async function freePorts(count) {
  const servers = await Promise.all(
    Array.from({ length: count }, async () => {
      const server = createServer();
      await new Promise((resolve) => server.listen(0, HOST, resolve));
      return server;
    }),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** Sends one request and resolves with its status; 0 when it failed. */
function call(agent, port, method, path, headers, body) {
  return new Promise((resolve) => {
    const request = sendRequest({ host: HOST, port, method, path, headers, agent }, (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode));
    });
    request.on('error', () => resolve(0));
    request.end(body);
  });
}

function putJson(agent, port, path, content) {
  const headers = { 'content-type': 'application/json' };
  return call(agent, port, 'PUT', path, headers, JSON.stringify(content));
}

/** A replica that answers every request with the same records. */
async function startReplica() {
  let answers = 0;
  const server = createServer((request, response) => {
    answers += 1;
    const work = answers % SLOW_EVERY === 0 ? SLOW_MS : QUICK_MS;
    setTimeout(() => {
      response.writeHead(200, {
        'x-request-id': request.headers['x-request-id'] ?? '',
        'x-driftway-signature': `signature-${answers}`,
        'x-driftway-load': '1,0,2',
      });
      response.end(RECORDS);
    }, work);
  });
  await new Promise((resolve) => server.listen(0, HOST, resolve));
  return { server, address: `${HOST}:${server.address().port}` };
}

/** A route over all shards and one to a single service. */
function routeDocument() {
  const common = {
    host: ROUTE_HOST,
    execution: 'repeatable',
    timeoutMs: 2_000,
    targetLatencyMs: 100,
    maximumAttempts: 2,
  };
  return {
    version: 1,
    routes: [
      {
        ...common,
        pathPrefix: '/all/',
        shards: SHARDS,
        topRecords: 10,
        requiredCoverage: 0.5,
      },
      { ...common, pathPrefix: '/one/', service: SHARDS[0] },
    ],
    services: SHARDS.map((name) => ({ name })),
  };
}

class WarmUp {
  agent = new Agent({ keepAlive: true });
  daemons = [];
  replicas = [];
  heartbeats = undefined;
  /** Of the last round: all shards, one service, no route. */
  statuses = [];

  constructor(roles, folder) {
    this.roles = roles;
    this.folder = folder;
    this.telemetry = () => roles.createTelemetry('json', { fd: this.sink, isTTY: false });
  }

  async run(sink) {
    this.sink = sink;
    const ports = await freePorts(CONTROLLERS * 3 + GATEWAYS.length * 3);
    const registrationPorts = await this.startControllers(ports.splice(0, CONTROLLERS * 3));
    await this.startReplicas(registrationPorts);
    const gatewayPorts = GATEWAYS.map((_, index) => ports.slice(index * 3, index * 3 + 3));
    for (const [index, settings] of GATEWAYS.entries()) {
      await this.startGateway(settings, gatewayPorts[index]);
    }
    await this.putRoutes(registrationPorts[0]);
    await pause(CONNECT_MS);
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const [callerPort] of gatewayPorts) await this.playRound(callerPort, round);
    }
    for (const [, healthPort] of gatewayPorts) {
      await call(this.agent, healthPort, 'GET', '/readyz', {});
    }
    await call(this.agent, registrationPorts[0], 'GET', '/v1/routes', {});
  }

  async stop() {
    clearInterval(this.heartbeats);
    await Promise.all(this.daemons.map((daemon) => daemon.stop()));
    for (const { server } of this.replicas) server.closeAllConnections();
    for (const { server } of this.replicas) server.close();
    this.agent.destroy();
  }

  async startControllers(ports) {
    const { controllerConfigurationSchema, ControllerDaemon } = this.roles;
    const sets = Array.from({ length: CONTROLLERS }, (_, index) => ports.slice(index * 3));
    this.seeds = sets.map(([messages]) => `${HOST}:${messages}`);
    const starts = sets.map(([messages, http, registration], index) => {
      const dataFolder = join(this.folder, `controller-${index}`);
      const configuration = controllerConfigurationSchema.parse({
        memberId: `controller-${index}`,
        region: 'warm-up',
        zone: 'warm-up',
        cluster: { id: 'warm-up', key: 'key-of-the-warm-up' },
        dataFolder,
        listen: {
          http: `${HOST}:${http}`,
          messages: `${HOST}:${messages}`,
          registration: `${HOST}:${registration}`,
        },
        initialMembers: [{ memberId: 'first', address: this.seeds[0], zone: 'warm-up' }],
        consensus: { electionTimeoutMs: 400, firstElectionPart: 0.25 },
        automaticMembership: { seeds: this.seeds, firstStart: true },
      });
      const environment = this.roles.createDurableNodeEnvironment(dataFolder);
      return ControllerDaemon.start(environment, configuration, this.telemetry());
    });
    this.daemons.push(...(await Promise.all(starts)));
    return sets.map(([, , registration]) => registration);
  }

  async startReplicas(registrationPorts) {
    for (const service of SHARDS) {
      for (let copy = 0; copy < REPLICAS_PER_SHARD; copy += 1) {
        const replica = await startReplica();
        this.replicas.push({ ...replica, service, replicaId: `${service}-${copy}` });
      }
    }
    let sequence = 0;
    const beat = () => {
      sequence += 1;
      const port = registrationPorts[sequence % registrationPorts.length];
      return Promise.all(this.replicas.map((replica) => this.register(port, replica, sequence)));
    };
    await beat();
    this.heartbeats = setInterval(beat, HEARTBEAT_MS);
  }

  register(port, { replicaId, service, address }, sequence) {
    return putJson(this.agent, port, `/v1/replicas/${replicaId}`, {
      service,
      address,
      zone: 'warm-up',
      capacity: 2,
      state: 'ready',
      sequence,
    });
  }

  async startGateway({ name, aggregation }, [callerPort, healthPort, messagesPort]) {
    const { gatewayConfigurationSchema, GatewayDaemon } = this.roles;
    const configuration = gatewayConfigurationSchema.parse({
      name,
      region: 'warm-up',
      zone: 'warm-up',
      cluster: { id: 'warm-up', key: 'key-of-the-warm-up' },
      listen: {
        http: `${HOST}:${callerPort}`,
        health: `${HOST}:${healthPort}`,
        messages: `${HOST}:${messagesPort}`,
      },
      aggregation,
      controllers: this.seeds,
      stopGraceMs: 1_000,
    });
    const environment = this.roles.createNodeEnvironment();
    const telemetry = this.telemetry();
    this.daemons.unshift(await GatewayDaemon.start(environment, configuration, telemetry));
  }

  async putRoutes(port) {
    for (let attempt = 0; attempt < ROUTE_TRIES; attempt += 1) {
      if ((await putJson(this.agent, port, '/v1/routes', routeDocument())) === 200) break;
      await pause(SETTLE_MS);
    }
    await pause(SETTLE_MS);
  }

  async playRound(port, round) {
    const headers = (path) => ({
      host: ROUTE_HOST,
      'x-request-id': `${path}-${round}`,
      'x-driftway-deadline-ms': '1500',
    });
    const paths = ['/all/1', '/one/1', '/none/1'];
    const sent = paths.map((path) => call(this.agent, port, 'GET', path, headers(path)));
    await pause(ROUND_PAUSE_MS);
    this.statuses = await Promise.all(sent);
  }
}

/**
 * `roles` are the parts of the bundle; `sink` is the descriptor that log lines go
 * to. Resolves with the statuses of the last requests.
 */
export async function warmUpDaemons(roles, sink) {
  const folder = await mkdtemp(join(FOLDER, 'warm-up-'));
  const warmUp = new WarmUp(roles, folder);
  try {
    await warmUp.run(sink);
    return warmUp.statuses;
  } finally {
    await warmUp.stop();
    await rm(folder, { recursive: true, force: true });
  }
}
