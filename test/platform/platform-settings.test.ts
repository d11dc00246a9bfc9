import { readFile } from 'node:fs/promises';
import { describe, expect, it } from 'vitest';
import { controllerConfigurationOf } from '../../platform/controller-settings.js';
import { gatewayConfigurationOf } from '../../platform/gateway-settings.js';
import { PlatformRole, readPlatformSettings, roleOf } from '../../platform/platform-settings.js';

/** As the platform fills the template, with the names of deploy/wire.toml. */
function settingsText(serves: string, changes: object = {}): string {
  return JSON.stringify({
    NodeName: 'core-pnw-a-1',
    Role: 'anything',
    Serves: [serves],
    Ip: '10.1.0.12',
    zone: 'pnw-a',
    Region: 'pnw',
    InternalPorts: [7380, 7395],
    SeedNodes: ['10.1.0.12:8106', '10.2.0.24:8106', '10.3.0.18:8106'],
    Bootstrap: true,
    DataDir: serves === 'control' ? '/data/core' : null,
    ListenAddresses: {
      Front: '10.1.0.12:8104',
      Ready: '10.1.0.12:8108',
      Control: '10.1.0.12:8106',
    },
    Bounds: { GraceS: 6, RetryBudgetRatio: 0.2, BudgetSlack: 56, Unknown: 1 },
    Unknown: { deep: true },
    ...changes,
  });
}

describe('settings of the platform', () => {
  it('make a gateway that follows the seeds at the internal port', () => {
    const settings = readPlatformSettings(settingsText('front'));
    expect(roleOf(settings)).toBe(PlatformRole.Gateway);
    const { controllers, listen, secondSends, stopGraceMs } = gatewayConfigurationOf(settings);
    expect(controllers.map(({ host, port }) => `${host}:${port}`)).toEqual([
      '10.1.0.12:7380',
      '10.2.0.24:7380',
      '10.3.0.18:7380',
    ]);
    expect(listen.http).toEqual({ host: '10.1.0.12', port: 8104 });
    expect(listen.health).toEqual({ host: '10.1.0.12', port: 8108 });
    expect(secondSends).toEqual({ ratio: 0.2, slack: 56, windowMs: 10_000 });
    expect(stopGraceMs).toBe(6_000);
  });

  it('leave shards divided over all zones, also where a zone may be lost', () => {
    const nearOf = (changes: object): boolean => {
      const settings = readPlatformSettings(settingsText('front', changes));
      return gatewayConfigurationOf(settings).aggregation.nearGroups;
    };
    expect(nearOf({})).toBe(false);
    expect(nearOf({ FaultTolerance: { Machines: 2, Zones: 0 } })).toBe(false);
    expect(nearOf({ FaultTolerance: { Machines: 2, Zones: 1 } })).toBe(false);
  });

  it('make a controller that looks after its group by itself', () => {
    const settings = readPlatformSettings(settingsText('control'));
    expect(roleOf(settings)).toBe(PlatformRole.Controller);
    const configuration = controllerConfigurationOf(settings);
    expect(configuration.dataFolder).toBe('/data/core');
    expect(configuration.listen.registration).toEqual({ host: '10.1.0.12', port: 8106 });
    expect(configuration.automaticMembership?.firstStart).toBe(true);
    expect(configuration.automaticMembership?.seeds).toHaveLength(3);
  });

  // Guards against a log that doesn't know how large its disk is and fills it.
  it("give a controller the size of its machine's disk", () => {
    const capacityOf = (limits: object): number =>
      controllerConfigurationOf(readPlatformSettings(settingsText('control', { limits }))).storage
        .capacityBytes;
    expect(capacityOf({ DiskMb: 128 })).toBe(128_000_000);
    expect(capacityOf({ DiskMb: 0 })).toBe(capacityOf({}));
  });

  it('refuse what lacks an address, and say which', () => {
    expect(() => readPlatformSettings(settingsText('front', { Ip: undefined }))).toThrow(/Ip/);
  });

  it('name fields as deploy/wire.toml renames them', async () => {
    const wire = await readFile('deploy/wire.toml', 'utf8');
    expect(wire).toContain('Zone = "zone"');
  });
});
