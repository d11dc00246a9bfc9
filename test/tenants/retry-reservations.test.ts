/** Tests the order, the expiry and the gaps of the reservations of one tenant. */
import { describe, expect, it } from 'vitest';
import { ReservationLimit } from '../../src/tenants/reservation-limit.js';
import { RetryReservations } from '../../src/tenants/retry-reservations.js';

const SPACING_MS = 100;

function createReservations(dueTimes: readonly number[]): RetryReservations {
  const reservations = new RetryReservations(new ReservationLimit(1_000));
  dueTimes.forEach((dueAt, index) => reservations.add(`caller-${index}`, dueAt));
  return reservations;
}

describe('reservations for retries', () => {
  it('are claimed once, by their caller, and not before they are due', () => {
    const reservations = createReservations([100]);
    expect(reservations.claim('caller-0', 99)).toBe(false);
    expect(reservations.claim('caller-1', 100)).toBe(false);
    expect(reservations.claim('caller-0', 100)).toBe(true);
    expect(reservations.claim('caller-0', 100)).toBe(false);
    expect(reservations.size).toBe(0);
  });

  it('expire when their caller stays away, and leave the others', () => {
    const reservations = createReservations([100, 200, 300]);
    reservations.expireBefore(201);
    expect(reservations.size).toBe(1);
    expect(reservations.claim('caller-1', 301)).toBe(false);
    expect(reservations.claim('caller-2', 301)).toBe(true);
  });

  it('leave gaps of two spacings for others, and none that is narrower', () => {
    const reservations = createReservations([100, 250, 500]);
    expect(reservations.findGap(0, SPACING_MS)).toBe(0);
    expect(reservations.findGap(50, SPACING_MS)).toBe(350);
    expect(reservations.findGap(450, SPACING_MS)).toBe(600);
  });

  it('count those that are due until a time', () => {
    const reservations = createReservations([100, 250, 500]);
    reservations.claim('caller-0', 100);
    expect(reservations.countUntil(100)).toBe(0);
    expect(reservations.countUntil(250)).toBe(1);
    expect(reservations.nextDueAt(250)).toBe(500);
    expect(reservations.nextDueAt(500)).toBe(Infinity);
  });

  it('are held back from others until many callers in sequence stay away', () => {
    const reservations = createReservations(Array.from({ length: 20 }, (_, index) => index * 100));
    expect(reservations.isHolding).toBe(true);
    reservations.expireBefore(1_600);
    expect(reservations.isHolding).toBe(false);
    expect(reservations.claim('caller-16', 1_600)).toBe(true);
    expect(reservations.isHolding).toBe(true);
  });
});
