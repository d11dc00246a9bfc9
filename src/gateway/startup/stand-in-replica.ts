/** What the gateway's health listener answers to its own requests while it warms up. */
import type { HttpRequest, HttpResponse } from '../../seams/http.js';
import type { ExchangeHeaders } from '../exchange-headers.js';
import { RECORD_BYTES } from '../merge-records.js';

/** Path of the requests. */
export const WARM_UP_PATH = '/warm-up';
/** Records of one part. */
const RECORDS = 60;

const BODY = Buffer.alloc(RECORDS * RECORD_BYTES, 'record of a part');

/** The answer of a replica that has run the request. */
export function answerAsReplica(request: HttpRequest, names: ExchangeHeaders): HttpResponse {
  return {
    status: 200,
    headers: {
      [names.requestId]: request.headers[names.requestId] ?? '',
      [names.signature]: 'warm-up',
      [names.load]: '1,0,2',
    },
    body: BODY,
  };
}
