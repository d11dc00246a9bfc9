import { describe, expect, it } from 'vitest';
import { controllerConfigurationOf } from '../../platform/controller-settings.js';
import { gatewayConfigurationOf } from '../../platform/gateway-settings.js';
import { PlatformRole, readPlatformSettings, roleOf } from '../../platform/platform-settings.js';
import { serviceAddressOf, writePlatformSettings } from '../../platform/settings-writer.js';

const TERMS = {
  region: 'pnw',
  zones: ['pnw-a', 'pnw-b'],
  seeds: ['127.1.1.10', '127.1.1.11'],
  memoryMb: 250,
  graceMs: 6_000,
  firstStart: true,
};

describe('written settings', () => {
  it('are read as those of a gateway at its address', () => {
    const place = {
      role: PlatformRole.Gateway,
      name: 'gateway-0',
      ip: '127.1.1.30',
      zone: 'pnw-a',
    };
    const settings = readPlatformSettings(writePlatformSettings(place, TERMS));
    expect(roleOf(settings)).toBe(PlatformRole.Gateway);
    const { listen, memory, stopGraceMs, controllers } = gatewayConfigurationOf(settings);
    expect(listen.http).toEqual(serviceAddressOf(place));
    expect(memory.limitBytes).toBe(250_000_000);
    expect(stopGraceMs).toBe(6_000);
    expect(controllers.map(({ host }) => host)).toEqual(TERMS.seeds);
  });

  it('are read as those of a controller with its data folder', () => {
    const role = PlatformRole.Controller;
    const place = { role, name: 'controller-0', ip: '127.1.1.10', zone: 'pnw-b' };
    const settings = readPlatformSettings(writePlatformSettings(place, TERMS, 'data'));
    expect(roleOf(settings)).toBe(role);
    const { listen, dataFolder } = controllerConfigurationOf(settings);
    expect(listen.registration).toEqual(serviceAddressOf(place));
    expect(dataFolder).toBe('data');
  });
});
