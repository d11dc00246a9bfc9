/**
 * Starts the project's daemons as the deploy file says, each at a loopback address of its own, and
 * ends them again. Ports are the same on all machines, as on the platform.
 */
import { spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { URL, fileURLToPath } from 'node:url';

export const ROOT = fileURLToPath(new URL('../../', import.meta.url));
export const PORTS = { messages: 27380, http: 27381, front: 28104, control: 28106, ready: 28108 };
const NET = `127.${1 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 200)}`;
/** Address of the machine with this number. */
export const ip = (number) => `${NET}.${number}`;
export const sleep = (ms) => new Promise((resolve) => globalThis.setTimeout(resolve, ms));
const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** The words after `node` of the run line of a role. */
function runWords(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  const [, line] = /^run = "([^"]+)"/m.exec(section);
  return line.split(' ');
}

/** One machine with one daemon. */
class Machine {
  constructor(deployment, role, index) {
    this.deployment = deployment;
    this.role = role;
    this.name = `${role}-${index}`;
    this.ip = ip((role === 'controller' ? 10 : 30) + index);
    this.zone = ZONES[index % ZONES.length];
    this.process = undefined;
    this.starts = 0;
  }

  get isRunning() {
    return this.process !== undefined && this.process.exitCode === null && !this.process.signalCode;
  }

  settings() {
    const { deployment, role } = this;
    const isController = role === 'controller';
    const dataDir = join(deployment.folder, `data-${this.name}`);
    if (isController) mkdirSync(dataDir, { recursive: true });
    return {
      NodeName: this.name,
      Role: role,
      MachineClass: isController ? 'core' : 'front',
      Serves: [isController ? 'control' : 'front'],
      Ip: this.ip,
      zone: this.zone,
      Region: 'region',
      Zones: Object.fromEntries(ZONES.map((zone) => [zone, 'region'])),
      InternalPorts: [PORTS.messages, PORTS.http],
      SeedNodes: deployment.seeds(),
      Bootstrap: deployment.isFirstStart,
      CountsAsLoss: isController,
      DataDir: isController ? dataDir : null,
      Discovery: 'registry',
      EntryPoint: 'vip',
      HeartbeatMs: 1200,
      ListenAddresses: isController
        ? { Control: `${this.ip}:${PORTS.control}` }
        : { Front: `${this.ip}:${PORTS.front}`, Ready: `${this.ip}:${PORTS.ready}` },
      limits: { CpuShare: 0.675, CpuCores: 1, MemoryMb: 350, DiskMb: isController ? 128 : 0 },
      FaultTolerance: { Machines: 1, Zones: 0, Regions: 0 },
      Bounds: deployment.bounds,
      config_mode: 'highest',
    };
  }

  start() {
    const { deployment } = this;
    const file = join(deployment.folder, `${this.name}.json`);
    writeFileSync(file, JSON.stringify(this.settings()));
    const log = openSync(join(deployment.folder, `${this.name}.log`), 'a');
    const [program, ...words] = runWords(this.role);
    const { PATH, HOME, LANG } = process.env;
    this.process = spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, DRIFTWAY_BOOT: file },
      stdio: ['ignore', log, log],
    });
    this.starts += 1;
  }

  signal(name) {
    if (this.isRunning) this.process.kill(name);
  }

  async ended() {
    while (this.isRunning) await sleep(10);
  }
}

export const BOUNDS = {
  SeedLagS: 3,
  AddressReuseS: 2,
  ContactMs: 4000,
  AckTimeoutMs: 5000,
  CatchUpS: 4,
  DrainTimeoutMs: 3000,
  GraceS: 6,
  LossSlackMs: 200,
  ConfigApplyMs: 3000,
  RollbackSlackMs: 250,
  MaxSkewMs: 12000,
  RetryBudgetRatio: 0.2,
  BudgetWindowS: 10,
  BudgetSlack: 56,
  RecoveryS: 12,
};

/** A whole deployment. */
export class Deployment {
  constructor({ controllers, gateways, bounds = {} }) {
    this.folder = mkdtempSync(join(tmpdir(), 'driftway-review-'));
    this.bounds = { ...BOUNDS, ...bounds };
    this.isFirstStart = true;
    this.controllers = Array.from(
      { length: controllers },
      (_, i) => new Machine(this, 'controller', i),
    );
    this.gateways = Array.from({ length: gateways }, (_, i) => new Machine(this, 'gateway', i));
    process.once('exit', () => {
      this.killAll();
      rmSync(this.folder, { recursive: true, force: true });
    });
  }

  get machines() {
    return [...this.controllers, ...this.gateways];
  }

  seeds() {
    return this.controllers.slice(0, 3).map((machine) => `${machine.ip}:${PORTS.control}`);
  }

  controlAddresses() {
    return this.controllers.map((machine) => ({ host: machine.ip, port: PORTS.control }));
  }

  startAll() {
    for (const machine of this.machines) machine.start();
    this.isFirstStart = false;
  }

  killAll() {
    for (const machine of this.machines) machine.signal('SIGKILL');
  }

  /** Ends all processes and removes what they wrote. */
  async close() {
    for (const machine of this.machines) machine.signal('SIGCONT');
    this.killAll();
    await Promise.all(this.machines.map((machine) => machine.ended()));
    rmSync(this.folder, { recursive: true, force: true });
  }
}
