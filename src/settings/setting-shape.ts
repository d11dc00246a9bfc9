/** The values that a setting takes, in words, from its schema. */
import * as z from 'zod';
import { serviceSettingsSchema, type ServiceSettingKey } from './service-settings.js';

/** The parts of a key's JSON schema that people are shown. */
export interface SettingShape {
  readonly type?: string;
  readonly enum?: readonly string[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly description?: string;
}

export function settingShape(key: ServiceSettingKey): SettingShape {
  return z.toJSONSchema(serviceSettingsSchema.shape[key]) as SettingShape;
}

/** Such as `whole number, 0 to 100000`; choices in the form that `formatChoice` gives them. */
export function describeValues(
  key: ServiceSettingKey,
  formatChoice = (choice: string): string => choice,
): string {
  const { type, enum: choices, minimum, maximum } = settingShape(key);
  if (choices !== undefined) return choices.map(formatChoice).join(', ');
  const kind = type === 'integer' ? 'whole number' : 'number';
  return `${kind}, ${minimum} to ${maximum}`;
}
