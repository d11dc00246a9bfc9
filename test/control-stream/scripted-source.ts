/** A simulated controller that sends exactly what the test passes to it, valid or not. */
import { Registry } from 'prom-client';
import type { SimulatedMachine } from '../../lab/simulation/simulated-machine.js';
import type { ControllerEndpoint } from '../../src/configuration/daemon-configuration.js';
import { STREAM_CODEC, type StreamMessage } from '../../src/control-stream/stream-messages.js';
import { AuthenticatedListener } from '../../src/protocol/authenticated-listener.js';
import type { MessageConnection } from '../../src/seams/message-connection.js';
import { CLUSTER } from './controller-fixture.js';

/** Serves one daemon at a time; answers nothing by itself. */
export class ScriptedSource {
  /** Messages received on all connections, oldest first. */
  readonly received: StreamMessage[] = [];
  private connection: MessageConnection | undefined;
  private listener!: AuthenticatedListener;

  private constructor(private readonly host: SimulatedMachine) {}

  static async start(host: SimulatedMachine): Promise<ScriptedSource> {
    const source = new ScriptedSource(host);
    const serve = source.serve.bind(source);
    source.listener = await AuthenticatedListener.listen(
      host.environment,
      { host: host.host, port: 7500 },
      { clusterId: CLUSTER.id, clusterKey: CLUSTER.key, name: host.name },
      { consensus: serve, exchange: serve, subscriber: serve },
      new Registry(),
    );
    return source;
  }

  get endpoint(): ControllerEndpoint {
    return { memberId: this.host.name, address: this.listener.address, zone: this.host.zone };
  }

  get now(): number {
    return this.host.environment.clock.now();
  }

  /** Received messages of one kind. */
  messagesOf<K extends StreamMessage['kind']>(kind: K): Extract<StreamMessage, { kind: K }>[] {
    return this.received.filter(
      (message): message is Extract<StreamMessage, { kind: K }> => message.kind === kind,
    );
  }

  send(...messages: StreamMessage[]): void {
    this.sendBytes(STREAM_CODEC.encodeBatch(messages));
  }

  sendBytes(bytes: Uint8Array): void {
    void this.connection?.send(bytes);
  }

  welcome(provenFresh = true): void {
    this.send({ kind: 'welcome', provenFresh, knownIncarnation: 0, sourceTime: this.now });
  }

  private async serve(connection: MessageConnection): Promise<void> {
    this.connection = connection;
    for (;;) {
      const frame = await connection.receive();
      if (frame === undefined) return;
      this.received.push(...STREAM_CODEC.decodeBatch(frame, connection.peer));
    }
  }
}
