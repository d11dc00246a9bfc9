/** Reads a setting's key and value from a command line. */
import * as z from 'zod';
import { describeValues } from '../settings/setting-shape.js';
import { serviceSettingsSchema, type ServiceSettingKey } from '../settings/service-settings.js';
import { usageError } from './operator-error.js';

/** @throws OperatorError listing the keys there are. */
export function parseSettingKey(text: string): ServiceSettingKey {
  const keySchema = serviceSettingsSchema.keyof();
  const parsed = keySchema.safeParse(text);
  if (parsed.success) return parsed.data;
  throw usageError(`there is no setting ${text}; there are ${keySchema.options.join(', ')}`);
}

/**
 * The value as the key's schema takes it.
 *
 * @throws OperatorError with the bounds.
 */
export function parseSettingValue(key: ServiceSettingKey, text: string): string | number {
  const schema = serviceSettingsSchema.shape[key];
  const asText = schema.safeParse(text);
  if (asText.success) return asText.data;
  const asNumber = schema.safeParse(text.trim() === '' ? undefined : Number(text));
  if (asNumber.success) return asNumber.data;
  const choices = schema instanceof z.ZodEnum ? 'one of ' : 'a ';
  throw usageError(`${key} takes ${choices}${describeValues(key)}, not ${text}`);
}
